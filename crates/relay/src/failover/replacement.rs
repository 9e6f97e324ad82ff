//! The replacement of a group's primary, step by step.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::Span;
use clock::Time;
use endpoint::Position;
use endpoint::Role;
use futures::future::join;
use futures::future::join_all;
use store::Outcome;
use store::Row;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::border::Order;
use crate::border::Status;
use crate::border::Target;
use crate::border::Verdict;
use crate::failover::Choice;
use crate::failover::Duty;
use crate::failover::Phase;
use crate::failover::Reason;
use crate::failover::Sight;
use crate::failover::Survey;
use crate::group::Group;
use crate::group::Server;
use crate::message::Code;
use crate::message::Request;
use crate::message::Statement;
use crate::node::Node;
use crate::node::lock;
use crate::peers::Content;
use crate::settings;
use crate::task;

/// Longest wait for other instances' opinions; a round trip between zones takes 3 ms.
const OPINION_WAIT: Duration = Duration::from_millis(80);
/// Longest wait for a call to the table.
const TABLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest wait for a server's answer to an order or a status question.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a promotion.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause between two tries of a step.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How often a step is tried before the duty is given up; a new try takes a new token.
const TRIES: u32 = 60;
/// How often replicas are tried to be resumed; a server that is back from a partition drops the
/// connections from before within three seconds.
const RESUME_TRIES: u32 = 40;
/// The period of looks whether a server that said it leaves has left.
const DEPARTED_EVERY: Duration = Duration::from_millis(1_000);
/// How long a promoted server may take to prove itself.
const PROOF_WAIT: Duration = Duration::from_millis(2_500);
/// After this time an instance knows all servers that were there in the last half minute.
const MEMORY: Span = Span::from_secs(30);
/// The row is renewed this often, so that nobody takes the holder for dead.
const RENEWAL: Span = Span::from_millis(1_000);
/// A try that waits is logged once in this many.
const TRIES_PER_LINE: u32 = 8;

/// Looks whether the primary is to be replaced, and starts that.
pub async fn look(node: &Arc<Node>, group: &Arc<Group>) {
    let now = node.now();
    let is_cut_off = !lock(&node.rotation).is_ready();
    let is_leaving = node.is_leaving.load(Ordering::Relaxed);
    if is_cut_off || is_leaving || group.servers().is_empty() {
        return;
    }
    let sight = sight(now, group);
    let Some(reason) = lock(&group.suspicion).step(now, &sight) else {
        return;
    };
    if group.is_in_failover.swap(true, Ordering::Relaxed) {
        return;
    }
    let node = Arc::clone(node);
    let group = Arc::clone(group);
    tokio::spawn(async move {
        let replacement = Replacement {
            node: &node,
            group: &group,
            reason,
            old: group.leader(),
        };
        replacement.run().await;
        lock(&group.suspicion).on_tried(node.now());
        group.is_in_failover.store(false, Ordering::Relaxed);
    });
}

/// Finds out which servers that said they leave have left, until the process ends.
pub async fn watch_departed(node: Arc<Node>, group: Arc<Group>) {
    loop {
        sleep(DEPARTED_EVERY).await;
        for (name, entry) in group.departed() {
            let answer = command(&node, &group, &name, &entry, &Statement::Status).await;
            if answer.is_err_and(|error| shows_absence(&error)) {
                group.on_left(&name);
            }
        }
    }
}

/// Returns whether an error shows that a server is not there any more.
fn shows_absence(error: &crate::Error) -> bool {
    // Nobody listens there, or another server does.
    matches!(
        error,
        crate::Error::Absent { .. }
            | crate::Error::Refused {
                code: Code::OtherServer,
                ..
            }
    )
}

fn sight(now: Time, group: &Group) -> Sight {
    let proven = lock(&group.lead).proven();
    let Some(leader) = group.leader() else {
        return Sight::default();
    };
    let vitals = lock(&leader.vitals);
    Sight {
        is_known: true,
        is_leaving: leader.is_draining(),
        proven,
        heard: vitals.heard,
        is_stuck: vitals.is_stuck(now),
    }
}

/// One try to replace a primary.
struct Replacement<'a> {
    node: &'a Arc<Node>,
    group: &'a Arc<Group>,
    reason: Reason,
    old: Option<Arc<Server>>,
}

impl Replacement<'_> {
    async fn run(&self) {
        let opinions = self
            .node
            .peers
            .ask(self.node, &self.group.name, OPINION_WAIT)
            .await;
        let old = self.old.as_ref().map(|old| &old.name);
        let vouchers = opinions
            .iter()
            .filter(|opinion| opinion.leader.is_some() && opinion.leader.as_ref() == old)
            .count();
        let newer = opinions
            .iter()
            .filter(|opinion| opinion.leader.is_some() && opinion.leader.as_ref() != old)
            .count();
        if opinions.len() * 2 < self.node.peer_addresses().len() {
            // Most others are out of reach, so they may have a primary that this one can't see.
            self.group.is_led_elsewhere.store(true, Ordering::Relaxed);
        }
        let is_vouched = vouchers * 2 > opinions.len() + 1;
        if (self.reason == Reason::Silent && is_vouched) || newer > 0 {
            log::info!(
                "event=failover-put-off group={} reason={} vouchers={vouchers} newer={newer} asked={}",
                self.group.name,
                self.reason,
                opinions.len()
            );
            if newer > 0
                && let Some(old) = old
            {
                self.group.on_deposed(old);
            }
            if newer == 0 {
                self.group.is_led_elsewhere.store(true, Ordering::Relaxed);
            }
            return;
        }
        let acknowledged = opinions
            .iter()
            .map(|opinion| opinion.acknowledged)
            .fold(lock(&self.group.lead).acknowledged(), Position::max);
        if !self.knows_enough() {
            return;
        }
        let Some(mut held) = self.take_duty().await else {
            return;
        };
        log::info!(
            "event=failover-begun group={} reason={} old={} token={} acknowledged={acknowledged}",
            self.group.name,
            self.reason,
            old.map_or("-", |old| old),
            held.duty.token
        );
        let begun = self.node.now();
        let promoted = self.replace(&mut held, acknowledged).await;
        log::info!(
            "event=failover-ended group={} promoted={} token={} ms={}",
            self.group.name,
            promoted.as_deref().unwrap_or("-"),
            held.duty.token,
            self.node.now().since(begun).as_millis()
        );
        if promoted.is_some() {
            self.resume().await;
        }
        self.write_duty(&mut held, Phase::Done).await;
    }

    /// Returns whether the group's servers are known well enough to replace a primary.
    ///
    /// An instance that has just started does not remember servers whose entries have lapsed.
    fn knows_enough(&self) -> bool {
        let now = self.node.now();
        let known = self.group.holders(now).len();
        let sync_replicas = lock(&self.group.settings).sync_replicas;
        // A primary, the replicas that acknowledge with it, and one more.
        known >= sync_replicas + 2 || now >= self.node.started + MEMORY
    }

    /// Replaces the primary under a held duty; returns the new one.
    async fn replace(&self, held: &mut Held, acknowledged: Position) -> Option<Arc<str>> {
        if self.reason == Reason::Leaving
            && let Some(old) = &self.old
        {
            // An order for the present primary changes nothing; it shows that orders can be given
            // before the primary's log is ended.
            self.order(held, &old.name, 3).await?;
        }
        let mut survey = Survey {
            sync_replicas: lock(&self.group.settings).sync_replicas,
            acknowledged,
            ..Survey::default()
        };
        let mut renewed = self.node.now();
        for tries in 1..=TRIES {
            if self.reason == Reason::Silent
                && let Some(old) = self.old_is_back(held).await
            {
                return Some(old);
            }
            self.survey(&mut survey).await;
            if let Some(leader) = self.newer_leader() {
                return Some(leader);
            }
            match survey.choose() {
                Choice::Promote(chosen) => {
                    log::info!(
                        "event=failover-chosen group={} server={chosen} survey=\"{survey:?}\"",
                        self.group.name
                    );
                    self.order(held, &chosen, TRIES).await?;
                    self.confirm(&chosen).await;
                    self.announce(&chosen).await;
                    return Some(chosen);
                }
                Choice::Wait { why } => {
                    if tries == 1 || tries % TRIES_PER_LINE == 0 {
                        log::info!(
                            "event=failover-waits group={} why=\"{why}\" survey=\"{survey:?}\"",
                            self.group.name
                        );
                    }
                }
            }
            if self.node.now() >= renewed + RENEWAL {
                renewed = self.node.now();
                if !self.write_duty(held, Phase::Working).await {
                    return None;
                }
            }
            sleep(RETRY_PAUSE).await;
        }
        None
    }

    /// Returns the old primary if it leads again.
    ///
    /// An order for it changes nothing, but makes sure that no earlier order is carried out later,
    /// when the replicas may receive again.
    async fn old_is_back(&self, held: &Held) -> Option<Arc<str>> {
        let old = self.old.as_ref()?;
        let asked = self.node.now();
        task::leader::ask(self.node, self.group, old).await;
        if lock(&self.group.lead).proven() < asked {
            return None;
        }
        self.order(held, &old.name, TRIES).await?;
        Some(Arc::clone(&old.name))
    }

    /// Returns the leader if another one than the old has shown itself.
    fn newer_leader(&self) -> Option<Arc<str>> {
        let leader = self.group.leader()?;
        let is_old = self.old.as_ref().is_some_and(|old| old.name == leader.name);
        (!is_old).then(|| Arc::clone(&leader.name))
    }

    /// Stops what can still acknowledge commits, and asks how far each log has come.
    async fn survey(&self, survey: &mut Survey) {
        survey.holders = self.group.holders(self.node.now());
        let servers = self.group.servers();
        survey.leaving = servers
            .iter()
            .filter(|server| server.is_draining())
            .map(|server| Arc::clone(&server.name))
            .collect();
        let term = lock(&self.group.lead).term().max(survey.acknowledged.term) + 1;
        let is_planned = self.reason == Reason::Leaving;
        let asked = servers.iter().map(|server| async move {
            let is_old = self.old.as_ref().is_some_and(|old| old.name == server.name);
            let statement = match (is_old, is_planned) {
                // One that does not answer anyhow is left as it is, for it may be back.
                (true, _) if self.reason == Reason::Silent => return (server, true, None),
                (true, _) => Statement::Demote { term },
                (false, true) => Statement::Status,
                (false, false) => Statement::Pause { term },
            };
            (server, is_old, self.control(server, &statement).await)
        });
        let departed = self.group.departed();
        let (answers, departed) = join(
            join_all(asked),
            join_all(
                departed
                    .iter()
                    .map(|(name, entry)| self.stop_departed(name, entry, term)),
            ),
        )
        .await;
        for (name, received) in departed.into_iter().flatten() {
            survey.paused.insert(name, received);
        }
        for (server, is_old, status) in answers {
            let Some(status) = status else {
                continue;
            };
            let name = Arc::clone(&server.name);
            if status.role == Role::Primary {
                // It leads under a term that is not known here yet.
                task::leader::ask(self.node, self.group, server).await;
            } else if is_old {
                survey.demoted = Some((name, status.received));
            } else if status.paused > 0 {
                survey.following.remove(&name);
                survey.paused.insert(name, status.received);
            } else {
                survey.paused.remove(&name);
                survey.following.insert(name, status.received);
            }
        }
    }

    /// Stops a server that said it leaves and whose entry has vanished, or finds that it has left.
    async fn stop_departed(
        &self,
        name: &Arc<str>,
        entry: &settings::Server,
        term: u64,
    ) -> Option<(Arc<str>, Position)> {
        match command(
            self.node,
            self.group,
            name,
            entry,
            &Statement::Pause { term },
        )
        .await
        {
            Ok(status) => {
                let status = status.filter(|status| status.paused > 0)?;
                Some((Arc::clone(name), status.received))
            }
            Err(error) => {
                if shows_absence(&error) {
                    self.group.on_left(name);
                }
                None
            }
        }
    }

    /// Gives the order until it is carried out for certain.
    async fn order(&self, held: &Held, server: &Arc<str>, tries: u32) -> Option<()> {
        let order = Order {
            group: Arc::clone(&self.group.name),
            server: Arc::clone(server),
            holder: Arc::clone(&self.node.options.name),
            token: held.duty.token,
        };
        for _ in 0..tries {
            let given = timeout(PROMOTE_TIMEOUT, self.node.parts.promoter.promote(&order)).await;
            log::info!(
                "event=order group={} server={server} token={} answer=\"{given:?}\"",
                order.group,
                order.token
            );
            match given {
                Ok(Ok(Verdict::Done)) => return Some(()),
                Ok(Ok(Verdict::Rejected)) => return None,
                Ok(Ok(Verdict::Later) | Err(_)) | Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
        None
    }

    /// Waits until the promoted server leads.
    async fn confirm(&self, chosen: &Arc<str>) {
        let deadline = Instant::now() + PROOF_WAIT;
        while Instant::now() < deadline {
            if let Some(server) = self.group.server(chosen) {
                task::leader::ask(self.node, self.group, &server).await;
            }
            if self.newer_leader().is_some() {
                return;
            }
            sleep(RETRY_PAUSE / 2).await;
        }
    }

    /// Tells the other instances who leads, so that they need not find out.
    async fn announce(&self, leader: &Arc<str>) {
        for address in self.node.peer_addresses().into_values() {
            let content = Content::Leader {
                group: Arc::clone(&self.group.name),
                server: Arc::clone(leader),
            };
            self.node.peers.send(self.node, address, content).await;
        }
    }

    /// Lets paused replicas receive again.
    async fn resume(&self) {
        let leader = self.newer_leader();
        for _ in 0..RESUME_TRIES {
            let mut waiting = false;
            let servers = self.group.servers();
            let resumed = servers
                .iter()
                .filter(|server| leader.as_ref() != Some(&server.name))
                .map(|server| self.control(server, &Statement::Resume));
            for status in join_all(resumed).await {
                waiting |= status.is_none_or(|status| status.paused > 0);
            }
            if !waiting {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
        log::warn!("event=replicas-not-resumed group={}", self.group.name);
    }

    /// Runs an order or a status question at a server.
    async fn control(&self, server: &Arc<Server>, statement: &Statement) -> Option<Status> {
        let is_old = self.old.as_ref().is_some_and(|old| old.name == server.name);
        if !is_old && let Some(status) = self.control_pooled(server, statement).await {
            return Some(status);
        }
        let entry = lock(&server.entry).clone();
        command(self.node, self.group, &server.name, &entry, statement)
            .await
            .ok()
            .flatten()
    }

    /// Runs an order on a connection of the pool, if one is free.
    async fn control_pooled(&self, server: &Arc<Server>, statement: &Statement) -> Option<Status> {
        let account = self.node.revision().accounts.keys().next().cloned()?;
        let deadline = Instant::now() + CONTROL_TIMEOUT / 2;
        let mut lane = server.pool.acquire_any(&account, deadline).await.ok()?;
        let request = Request::own(statement.clone());
        let replies = lane.exchange(&[request], deadline).await.ok()?;
        let status = lane.status(&replies[0]);
        lane.release();
        status
    }

    /// Takes the duty; `None` if another instance has it or the table does not answer.
    async fn take_duty(&self) -> Option<Held> {
        let key = Duty::key(&self.group.name);
        let row = self.read_duty(&key).await?;
        let now = self.node.now();
        let life = self.node.life;
        if !self
            .node
            .duties
            .may_take(now, &self.group.name, row.as_ref(), life)
        {
            return None;
        }
        let before = row.as_ref().and_then(Duty::read);
        if let Some(before) = before.as_ref().filter(|duty| duty.phase == Phase::Working) {
            // Servers that the last holder knew may have vanished before this instance started.
            self.group.remember(&before.holders);
        }
        let duty = Duty {
            holder: Arc::clone(&self.node.options.name),
            life,
            token: before.map_or(1, |before| before.token + 1),
            phase: Phase::Working,
            holders: self.group.holders(now),
        };
        let (condition, write) = duty.replace(&self.group.name, row.as_ref());
        let commit = self.node.parts.table.commit(vec![condition], vec![write]);
        match timeout(TABLE_TIMEOUT, commit).await {
            Ok(Ok(Outcome::Committed { version })) => Some(Held { duty, version }),
            Ok(Ok(Outcome::Conflict { .. })) => None,
            failed => {
                log::info!(
                    "event=duty-in-doubt group={} why=\"{failed:?}\"",
                    self.group.name
                );
                let row = self.read_duty(&key).await??;
                let is_ours = Duty::read(&row).is_some_and(|read| read == duty);
                is_ours.then_some(Held {
                    duty,
                    version: row.version,
                })
            }
        }
    }

    async fn read_duty(&self, key: &str) -> Option<Option<Row>> {
        match timeout(TABLE_TIMEOUT, self.node.parts.table.get(key)).await {
            Ok(Ok(row)) => Some(row),
            failed => {
                log::info!(
                    "event=duty-unread group={} why=\"{failed:?}\"",
                    self.group.name
                );
                None
            }
        }
    }

    /// Writes the duty again; returns whether this instance still holds it.
    async fn write_duty(&self, held: &mut Held, phase: Phase) -> bool {
        held.duty.phase = phase;
        held.duty.holders = self.group.holders(self.node.now());
        let before = Row {
            key: Duty::key(&self.group.name),
            value: Arc::from(""),
            version: held.version,
        };
        let (condition, write) = held.duty.replace(&self.group.name, Some(&before));
        let commit = self.node.parts.table.commit(vec![condition], vec![write]);
        match timeout(TABLE_TIMEOUT, commit).await {
            Ok(Ok(Outcome::Committed { version })) => {
                held.version = version;
                true
            }
            failed => {
                log::info!(
                    "event=duty-unwritten group={} why=\"{failed:?}\"",
                    self.group.name
                );
                false
            }
        }
    }
}

/// A duty that this instance holds.
struct Held {
    duty: Duty,
    /// The version of the row.
    version: u64,
}

/// Runs an order on a connection of its own, as the pool's may be stuck.
async fn command(
    node: &Node,
    group: &Group,
    server: &Arc<str>,
    entry: &settings::Server,
    statement: &Statement,
) -> Result<Option<Status>, crate::Error> {
    let Some(account) = node.revision().accounts.keys().next().cloned() else {
        return Ok(None);
    };
    let target = Target {
        group: Arc::clone(&group.name),
        server: Arc::clone(server),
        address: entry.address,
        account,
    };
    let run = async {
        let mut connection = node.parts.connector.open(&target).await?;
        let request = Request::own(statement.clone());
        connection.send(std::slice::from_ref(&request)).await?;
        let reply = connection.receive().await?;
        let status = connection.status(&reply);
        if status.is_none() {
            log::info!(
                "event=control-refused group={} server={server} statement=\"{statement:?}\" answer=\"{:?}\"",
                group.name,
                reply.outcome
            );
        }
        Ok(status)
    };
    let ran = timeout(CONTROL_TIMEOUT, run).await.unwrap_or_else(|_| {
        Err(crate::Error::Silent {
            step: "give an order",
            peer: server.to_string(),
        })
    });
    if let Err(error) = &ran {
        log::info!(
            "event=control-failed group={} server={server} why=\"{error}\"",
            group.name
        );
    }
    ran
}
