//! The replacement of a group's primary, step by step.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::Span;
use endpoint::Position;
use endpoint::Role;
use futures::future::join;
use futures::future::join_all;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::external::Order;
use crate::external::Outcome;
use crate::external::Status;
use crate::failover::Choice;
use crate::failover::Phase;
use crate::failover::Reason;
use crate::failover::Survey;
use crate::failover::command;
use crate::failover::held::Held;
use crate::failover::held::Unfinished;
use crate::group::Group;
use crate::group::Server;
use crate::message::Statement;
use crate::node::Node;
use crate::node::lock;
use crate::peers::Content;
use crate::peers::Opinion;
use crate::settings;
use crate::task;

/// Longest wait for other instances' opinions; a round trip between zones takes 3 ms.
const OPINION_WAIT: Duration = Duration::from_millis(80);
/// Longest wait for the answer to a promotion.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// An order is carried out within this time, in most cases: the platform says some hundred
/// milliseconds.
const ORDER_DELAY: Duration = Duration::from_millis(1_000);
/// Pause between two tries of a step.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How often a step is tried before the duty is given up; a new try takes a new token.
const TRIES: u32 = 60;
/// How often replicas are tried to be resumed; a server that is back from a partition drops the
/// connections from before within three seconds.
const RESUME_TRIES: u32 = 40;
/// How long a promoted server may take to prove itself.
const PROOF_WAIT: Duration = Duration::from_millis(2_500);
/// After this time an instance knows all servers that were there in the last half minute.
const MEMORY: Span = Span::from_secs(30);
/// The row is renewed this often, so that nobody takes the holder for dead.
const RENEWAL: Span = Span::from_millis(1_000);
/// A try that waits is logged once in this many.
const TRIES_PER_LINE: u32 = 8;

/// One try to replace a primary.
pub struct Replacement<'a> {
    node: &'a Arc<Node>,
    group: &'a Arc<Group>,
    reason: Reason,
    /// The primary as it was known when the try began.
    old: Option<Arc<Server>>,
    /// The newest term that any server has reported; orders need a later one.
    term: u64,
}

impl<'a> Replacement<'a> {
    /// Prepares to replace the present primary of a group.
    pub fn of(node: &'a Arc<Node>, group: &'a Arc<Group>, reason: Reason) -> Self {
        Self {
            node,
            group,
            reason,
            old: group.leader(),
            term: lock(&group.lead).term(),
        }
    }

    /// Replaces the primary if the other instances agree that it must be, and if it can be.
    pub async fn run(&mut self) {
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
        let is_vouched = match self.reason {
            Reason::Silent => vouchers * 2 > opinions.len() + 1,
            Reason::Stuck => opinions.iter().any(Opinion::has_committed_lately),
            Reason::Leaving | Reason::Missing | Reason::Unfinished => false,
        };
        if is_vouched || newer > 0 {
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
            if newer == 0 && self.reason == Reason::Silent {
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
        let Some(mut held) = Held::take(self.node, self.group).await else {
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
        if let Some(leader) = &promoted {
            self.resume(leader).await;
        }
        self.end(&mut held, promoted.is_some()).await;
    }

    /// Ends a replacement whose holder died at it, where the primary leads: replicas may have been
    /// left paused, and an order may still be carried out.
    pub async fn finish(&mut self) {
        let mut held = match Held::take_unfinished(self.node, self.group).await {
            Unfinished::Nothing => return,
            Unfinished::Unknown => {
                lock(&self.group.checkup).on_replacement(self.node.now());
                return;
            }
            Unfinished::Taken(held) => held,
        };
        let leader = self.old_is_back(&held).await;
        log::info!(
            "event=failover-finished group={} leader={} token={}",
            self.group.name,
            leader.as_deref().unwrap_or("-"),
            held.duty.token
        );
        if let Some(leader) = &leader {
            self.resume(leader).await;
        }
        self.end(&mut held, leader.is_some()).await;
    }

    /// Writes how the work ended; one that is not settled may have left an order and paused
    /// replicas behind, and the next holder must know.
    async fn end(&self, held: &mut Held, is_settled: bool) {
        let phase = if is_settled {
            Phase::Done
        } else {
            lock(&self.group.checkup).on_replacement(self.node.now());
            Phase::Working
        };
        held.write(self.node, self.group, phase).await;
    }

    /// Returns whether the group's servers are known well enough to replace a primary.
    ///
    /// An instance that has just started does not remember servers whose entries have lapsed.
    fn knows_enough(&self) -> bool {
        let now = self.node.now();
        let known = self.group.holders(now).len();
        let sync_replicas = lock(&self.group.settings).sync_replicas;
        // A primary, the replicas that acknowledge with it, and one more.
        let has_enough = known >= sync_replicas + 2 || now >= self.node.started + MEMORY;
        has_enough && lock(&self.group.departures).is_read()
    }

    /// Replaces the primary under a held duty; returns the new one.
    async fn replace(&mut self, held: &mut Held, acknowledged: Position) -> Option<Arc<str>> {
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
                    self.order(held, &chosen).await?;
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
                if !held.write(self.node, self.group, Phase::Working).await {
                    return None;
                }
            }
            sleep(RETRY_PAUSE).await;
        }
        None
    }

    /// Returns the old primary if it leads again.
    ///
    /// Where an order of an earlier try may still be carried out, a later one for the primary that
    /// leads changes nothing, but makes sure that the earlier one is rejected once the replicas may
    /// receive again. Otherwise no order is given: it is carried out a little later, and would
    /// bring the server back even if it was demoted meanwhile.
    async fn old_is_back(&self, held: &Held) -> Option<Arc<str>> {
        let old = self.old.as_ref()?;
        let asked = self.node.now();
        task::leader::ask(self.node, self.group, old).await;
        if lock(&self.group.lead).proven() < asked {
            return None;
        }
        if held.may_have_ordered() {
            self.order(held, &old.name).await?;
            // Nobody takes the duty before the order has been carried out.
            sleep(ORDER_DELAY).await;
        }
        Some(Arc::clone(&old.name))
    }

    /// Returns the leader if another one than the old has shown itself.
    fn newer_leader(&self) -> Option<Arc<str>> {
        let leader = self.group.leader()?;
        let is_old = self.old.as_ref().is_some_and(|old| old.name == leader.name);
        (!is_old).then(|| Arc::clone(&leader.name))
    }

    /// Stops what can still acknowledge commits, and asks how far each log has come.
    async fn survey(&mut self, survey: &mut Survey) {
        survey.holders = self.group.holders(self.node.now());
        let servers = self.group.servers();
        survey.leaving = servers
            .iter()
            .filter(|server| server.is_draining())
            .map(|server| Arc::clone(&server.name))
            .collect();
        let term = self.term.max(survey.acknowledged.term) + 1;
        // What was paused may have started anew since the last look.
        survey.paused.clear();
        survey.following.clear();
        let is_planned = self.reason == Reason::Leaving;
        let this = &*self;
        let asked = servers.iter().map(|server| async move {
            let is_old = this.old.as_ref().is_some_and(|old| old.name == server.name);
            let statement = match (is_old, is_planned) {
                // One that does not answer anyhow is left as it is, for it may be back.
                (true, _) if this.reason == Reason::Silent => return (server, true, None),
                (true, _) => Statement::Demote { term },
                (false, true) => Statement::Status,
                (false, false) => Statement::Pause { term },
            };
            (server, is_old, this.control(server, &statement).await)
        });
        let departed = self.group.to_ask();
        let (answers, departed) = join(
            join_all(asked),
            join_all(
                departed
                    .iter()
                    .map(|(name, entry)| this.stop_departed(name, entry, term)),
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
            self.term = self.term.max(status.term).max(status.paused);
            if status.role == Role::Primary {
                // It leads under a term that is not known here yet.
                task::leader::ask(self.node, self.group, server).await;
            } else if is_old {
                survey.demoted = Some((name, status.received));
            } else if status.paused > 0 {
                survey.paused.insert(name, status.received);
            } else {
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
        match command::apart(
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
                if command::shows_absence(&error) {
                    self.group.on_left(name);
                }
                None
            }
        }
    }

    /// Gives the order until it is carried out for certain.
    async fn order(&self, held: &Held, server: &Arc<str>) -> Option<()> {
        let order = Order {
            group: Arc::clone(&self.group.name),
            server: Arc::clone(server),
            holder: Arc::clone(&self.node.options.name),
            token: held.duty.token,
        };
        for _ in 0..TRIES {
            let given = timeout(
                PROMOTE_TIMEOUT,
                self.node.dependencies.promoter.promote(&order),
            )
            .await;
            log::info!(
                "event=order group={} server={server} token={} answer=\"{given:?}\"",
                order.group,
                order.token
            );
            match given {
                Ok(Ok(Outcome::Done)) => return Some(()),
                Ok(Ok(Outcome::Rejected)) => return None,
                Ok(Ok(Outcome::Deferred) | Err(_)) | Err(_) => sleep(RETRY_PAUSE).await,
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
            if self
                .group
                .leader()
                .is_some_and(|leader| leader.name == *chosen)
            {
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
    async fn resume(&self, leader: &Arc<str>) {
        for _ in 0..RESUME_TRIES {
            let mut waiting = false;
            let servers = self.group.servers();
            let resumed = servers
                .iter()
                .filter(|server| server.name != *leader)
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
        if !is_old && let Some(status) = command::on_pool(self.node, server, statement).await {
            return Some(status);
        }
        let entry = lock(&server.entry).clone();
        command::apart(self.node, self.group, &server.name, &entry, statement)
            .await
            .ok()
            .flatten()
    }
}
