//! The steps of replacing a group's primary.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use account::rate;
use account::rate::ROW_PREFIX;
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
use crate::failover::Revocation;
use crate::failover::Survey;
use crate::failover::claim::Claim;
use crate::failover::claim::Takeover;
use crate::failover::command;
use crate::failover::row::TABLE_TIMEOUT;
use crate::group::Group;
use crate::group::Server;
use crate::message::Statement;
use crate::node::Fencing;
use crate::node::Node;
use crate::node::lock;
use crate::peers::Payload;
use crate::peers::View;
use crate::settings;
use crate::task;

/// Maximum wait for other instances' views of the group; a round trip between zones takes 3 ms.
const PEER_VIEW_TIMEOUT: Duration = Duration::from_millis(80);
/// Maximum wait for the reply to a promotion request.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// A promotion usually takes effect within this time; the platform specifies a few hundred
/// milliseconds.
const PROMOTION_SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// Maximum wait for other instances to give up their leader leases in one attempt.
const REVOCATION_TIMEOUT: Duration = Duration::from_millis(40);
/// Pause between two attempts of a step.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Attempts of a step before the lease is given up; a new failover gets a new token.
const ATTEMPTS_MAX: u32 = 60;
/// Attempts to resume replicas; a server that is back from a partition drops its old connections
/// within three seconds.
const RESUME_ATTEMPTS_MAX: u32 = 40;
/// How long a promoted server may take to prove its leadership.
const PROOF_TIMEOUT: Duration = Duration::from_millis(2_500);
/// An instance that has run this long knows every server of the last half minute.
const MEMBERSHIP_LEARNED_AFTER: Span = Span::from_secs(30);
/// How often the lease is renewed, so that no other instance presumes the holder dead.
const LEASE_RENEWAL_PERIOD: Span = Span::from_millis(1_000);
/// A waiting failover is logged once per this many attempts.
const ATTEMPTS_PER_LOG_LINE: u32 = 8;

/// One attempt to replace a primary.
pub struct Replacement<'a> {
    node: &'a Arc<Node>,
    group: &'a Arc<Group>,
    reason: Reason,
    /// The primary known when the attempt began.
    old: Option<Arc<Server>>,
    /// The newest term reported by any server; pause and demote commands need a newer one.
    term: u64,
    /// Whether the group's primary was ever replaced.
    was_replaced: bool,
    /// The leader leases of other instances that must end first; `None` where a replaced primary
    /// refuses statements by itself.
    revocation: Option<Revocation>,
    /// The other instances registered in the table, by name.
    instances: BTreeMap<Arc<str>, SocketAddr>,
}

impl<'a> Replacement<'a> {
    /// Prepares to replace a group's current primary.
    pub fn open(node: &'a Arc<Node>, group: &'a Arc<Group>, reason: Reason) -> Self {
        Self {
            node,
            group,
            reason,
            old: group.leader(),
            term: lock(&group.leadership).term(),
            was_replaced: false,
            revocation: None,
            instances: BTreeMap::new(),
        }
    }

    /// Replaces the primary unless the other instances' views speak against it or no server can be
    /// promoted without losing commits.
    pub async fn run(&mut self) {
        let views = self
            .node
            .peers
            .query_views(self.node, &self.group.name, PEER_VIEW_TIMEOUT)
            .await;
        let old = self.old.as_ref().map(|old| &old.name);
        let confirming = views
            .iter()
            .filter(|view| view.is_prober)
            .filter(|view| view.leader.is_some() && view.leader.as_ref() == old)
            .count();
        let probers = views.iter().filter(|view| view.is_prober).count();
        let newer = views
            .iter()
            .filter(|view| view.leader.is_some() && view.leader.as_ref() != old)
            .count();
        if views.len() * 2 < self.node.peer_addresses().len() {
            // Most instances are unreachable, so they may reach a primary that this one can't.
            self.group
                .is_leader_unreachable
                .store(true, Ordering::Relaxed);
        }
        let is_confirmed = match self.reason {
            Reason::Silent => confirming * 2 > probers + 1,
            Reason::Stuck => views.iter().any(View::has_recent_commit),
            Reason::Leaving | Reason::Missing | Reason::Unfinished => false,
        };
        if is_confirmed || newer > 0 {
            log::info!(
                "event=failover-put-off group={} reason={} vouchers={confirming} newer={newer} asked={}",
                self.group.name,
                self.reason,
                views.len()
            );
            if newer > 0
                && let Some(old) = old
            {
                self.group.on_not_leader(old);
            }
            if newer == 0 && self.reason == Reason::Silent {
                self.group
                    .is_leader_unreachable
                    .store(true, Ordering::Relaxed);
            }
            return;
        }
        let acknowledged = views
            .iter()
            .map(|view| view.acknowledged)
            .fold(lock(&self.group.leadership).acknowledged(), Position::max);
        if !self.knows_membership() {
            return;
        }
        let known_token = views
            .iter()
            .map(|view| view.token)
            .fold(self.node.leases.newest_token(&self.group.name), u64::max);
        let Some(mut claim) = Claim::acquire(self.node, self.group, known_token).await else {
            return;
        };
        log::info!(
            "event=failover-begun group={} reason={} old={} token={} acknowledged={acknowledged}",
            self.group.name,
            self.reason,
            old.map_or("-", |old| old),
            claim.lease.token
        );
        let begun = self.node.now();
        if self.is_unchecked() && !self.take_appointed(&claim) {
            let leader = claim.lease.leader;
            self.release(&mut claim, leader.is_some()).await;
            return;
        }
        if self.is_unchecked() {
            self.open_revocation(&claim).await;
        }
        let promoted = self.replace(&mut claim, acknowledged).await;
        log::info!(
            "event=failover-ended group={} promoted={} token={} ms={}",
            self.group.name,
            promoted.as_deref().unwrap_or("-"),
            claim.lease.token,
            self.node.now().since(begun).as_millis()
        );
        if let Some(leader) = &promoted {
            self.appoint(&mut claim, leader).await;
            self.announce(leader).await;
            self.resume(leader).await;
        }
        self.release(&mut claim, promoted.is_some()).await;
        self.group
            .change_leader_lease(|lease| lease.set_candidate(None));
        self.node.leader_appointed.notify_one();
    }

    fn is_unchecked(&self) -> bool {
        self.node.options.fencing == Fencing::Unchecked
    }

    /// Takes the leader named by the table for the one to replace, as any other server that acts as
    /// primary has been replaced; returns whether it still must be.
    fn take_appointed(&mut self, claim: &Claim) -> bool {
        self.was_replaced = claim.lease.leader.is_some() || claim.lease.requested.is_some();
        if let Some(address) = claim.lease.leader {
            let appointed = self.group.server_at(address);
            let is_other = match (&self.old, &appointed) {
                (Some(old), Some(appointed)) => old.name != appointed.name,
                _ => false,
            };
            if is_other {
                return false;
            }
            self.old = appointed;
            if self.old.is_some() && self.reason == Reason::Missing {
                // It may have been found by others, so it is not demoted.
                self.reason = Reason::Silent;
            }
        }
        self.believe(self.old.as_ref());
        true
    }

    /// Makes a server the only one whose claim to lead this instance believes.
    fn believe(&self, server: Option<&Arc<Server>>) {
        let address = server.map(|server| lock(&server.entry).address);
        self.group
            .change_leader_lease(|lease| lease.set_candidate(address));
    }

    /// Gives up this instance's leader lease and finds out who else may hold one.
    async fn open_revocation(&mut self, claim: &Claim) {
        let recorded = self.node.now();
        self.group.revoke_leader_lease(claim.lease.token);
        let list = self.node.dependencies.table.list(ROW_PREFIX);
        let registered = match timeout(TABLE_TIMEOUT, list).await {
            Ok(Ok(rows)) => Some(rate::registered(&rows)),
            failed => {
                log::info!(
                    "event=instances-unread group={} why=\"{failed:?}\"",
                    self.group.name
                );
                None
            }
        };
        let others = registered.map(|mut registered| {
            registered.remove(&self.node.options.name);
            registered
        });
        let names = others
            .as_ref()
            .map(|others| others.keys().cloned().collect());
        self.instances = others.unwrap_or_default();
        self.revocation = Some(Revocation::open(recorded, names));
    }

    /// Asks the instances that may still rely on the old leader to stop.
    async fn revoke_leases(&mut self, token: u64) {
        let Some(revocation) = &mut self.revocation else {
            return;
        };
        if revocation.has_ended(self.node.now()) {
            return;
        }
        let mut awaited = self.instances.clone();
        awaited.retain(|name, _| revocation.awaited().contains(name));
        let given_up = self
            .node
            .peers
            .revoke_leader_lease(
                self.node,
                &self.group.name,
                token,
                &awaited,
                REVOCATION_TIMEOUT,
            )
            .await;
        for name in given_up {
            revocation.on_given_up(&name);
        }
    }

    /// Returns whether no instance relies on the old leader any more.
    fn is_unused(&self, survey: &Survey) -> bool {
        // A demoted primary refuses statements.
        let is_demoted = survey.demoted.is_some();
        let revocation = self.revocation.as_ref();
        is_demoted || revocation.is_none_or(|revocation| revocation.has_ended(self.node.now()))
    }

    /// Records the new leader, which lets the instances rely on it.
    async fn appoint(&self, claim: &mut Claim, leader: &Arc<str>) {
        let server = self.group.server(leader);
        if let Some(server) = server {
            claim.lease.leader = Some(lock(&server.entry).address);
        }
        claim.lease.requested = None;
        if !self.is_unchecked() {
            return;
        }
        for _ in 0..ATTEMPTS_MAX {
            if claim.renew(self.node, self.group, Phase::Appointed).await {
                return;
            }
            if !claim.is_current(self.node.now()) {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Finishes a replacement whose holder died, in a group that has a leader: replicas may be left
    /// paused, and a promotion may still take effect.
    pub async fn finish_abandoned(&mut self) {
        let mut claim = match Claim::acquire_abandoned(self.node, self.group).await {
            Takeover::NotNeeded => return,
            Takeover::Unknown => {
                lock(&self.group.recheck).on_replacement(self.node.now());
                return;
            }
            Takeover::Acquired(claim) => claim,
        };
        let leader = self.recovered_primary(&mut claim).await;
        log::info!(
            "event=failover-finished group={} leader={} token={}",
            self.group.name,
            leader.as_deref().unwrap_or("-"),
            claim.lease.token
        );
        if let Some(leader) = &leader {
            self.resume(leader).await;
        }
        self.release(&mut claim, leader.is_some()).await;
    }

    /// Writes the outcome to the lease. An unsettled failover may have left a pending promotion and
    /// paused replicas, so it stays `Working` for the next holder to see.
    async fn release(&self, claim: &mut Claim, is_settled: bool) {
        let is_unchanged = self.is_unchecked() && claim.lease.requested.is_none();
        let phase = if is_settled {
            Phase::Done
        } else {
            lock(&self.group.recheck).on_replacement(self.node.now());
            // Without a request for a promotion the leader can't have changed.
            match is_unchanged {
                true => Phase::Appointed,
                false => Phase::Working,
            }
        };
        claim.renew(self.node, self.group, phase).await;
    }

    /// Returns whether enough of the group's servers are known to replace a primary safely.
    ///
    /// An instance that has just started doesn't know servers whose entries expired before.
    fn knows_membership(&self) -> bool {
        let now = self.node.now();
        let known = self.group.commit_holders(now).len();
        let sync_replicas = lock(&self.group.settings).sync_replicas;
        // The primary, its synchronous replicas and one more server.
        let has_enough =
            known >= sync_replicas + 2 || now >= self.node.started + MEMBERSHIP_LEARNED_AFTER;
        has_enough && lock(&self.group.departures).is_read()
    }

    /// Replaces the primary while the lease is held; returns the server that leads now.
    async fn replace(&mut self, claim: &mut Claim, acknowledged: Position) -> Option<Arc<str>> {
        let mut survey = Survey {
            sync_replicas: lock(&self.group.settings).sync_replicas,
            acknowledged,
            ..Survey::default()
        };
        let mut renewed = self.node.now();
        for attempt in 1..=ATTEMPTS_MAX {
            if self.reason == Reason::Silent
                && let Some(old) = self.recovered_primary(claim).await
            {
                return Some(old);
            }
            self.revoke_leases(claim.lease.token).await;
            self.collect(&mut survey).await;
            if !self.is_unchecked()
                && let Some(leader) = self.other_leader()
            {
                return Some(leader);
            }
            let choice = match self.requested_earlier(claim) {
                Some(server) => Choice::Promote(server),
                None => survey.choose(),
            };
            match choice {
                Choice::Promote(_) if !self.is_unused(&survey) => {
                    self.log_wait(attempt, "an instance may rely on the old leader", &survey);
                }
                Choice::Promote(chosen) => {
                    log::info!(
                        "event=failover-chosen group={} server={chosen} survey=\"{survey:?}\"",
                        self.group.name
                    );
                    self.promote(claim, &chosen).await?;
                    self.believe(self.group.server(&chosen).as_ref());
                    self.wait_for_leader(&chosen).await;
                    return Some(chosen);
                }
                Choice::Wait { why } => self.log_wait(attempt, why, &survey),
            }
            if self.node.now() >= renewed + LEASE_RENEWAL_PERIOD {
                renewed = self.node.now();
                if !claim.renew(self.node, self.group, Phase::Working).await {
                    return None;
                }
            }
            sleep(RETRY_PAUSE).await;
        }
        None
    }

    /// Logs that a replacement waits, once per several attempts.
    fn log_wait(&self, attempt: u32, why: &str, survey: &Survey) {
        if attempt == 1 || attempt.is_multiple_of(ATTEMPTS_PER_LOG_LINE) {
            log::info!(
                "event=failover-waits group={} why=\"{why}\" survey=\"{survey:?}\"",
                self.group.name
            );
        }
    }

    /// Returns the server whose promotion an earlier holder requested: it may take effect at any
    /// time, and nothing but another promotion of the same server is safe until then.
    fn requested_earlier(&self, claim: &Claim) -> Option<Arc<str>> {
        let requested = claim.lease.requested.as_ref()?;
        let server = self.group.server(requested)?;
        self.is_unchecked().then(|| Arc::clone(&server.name))
    }

    /// Returns the old primary if it leads again.
    ///
    /// If an earlier promotion may still be pending, the old primary is promoted again with the new
    /// token. That changes nothing at the server, but has the earlier promotion rejected before the
    /// replicas resume. Otherwise no promotion is requested: it takes effect with a delay and would
    /// reinstate the server even if it had been demoted meanwhile.
    async fn recovered_primary(&self, claim: &mut Claim) -> Option<Arc<str>> {
        let old = self.old.as_ref()?;
        if self
            .requested_earlier(claim)
            .is_some_and(|requested| requested != old.name)
        {
            return None;
        }
        let probed = self.node.now();
        task::leader::probe(self.node, self.group, old).await;
        if lock(&self.group.leadership).proven_at() < probed {
            return None;
        }
        let is_pending = match self.is_unchecked() {
            true => claim.lease.requested.is_some(),
            false => claim.may_have_pending_promotion(),
        };
        if is_pending {
            self.promote(claim, &old.name).await?;
            // Keeps the lease until the promotion has taken effect.
            sleep(PROMOTION_SETTLE_TIME).await;
        }
        Some(Arc::clone(&old.name))
    }

    /// Returns the leader if it is not the old primary.
    fn other_leader(&self) -> Option<Arc<str>> {
        let leader = self.group.leader()?;
        let is_old = self.old.as_ref().is_some_and(|old| old.name == leader.name);
        (!is_old).then(|| Arc::clone(&leader.name))
    }

    /// Stops servers that may still acknowledge commits, and collects the position of each log.
    async fn collect(&mut self, survey: &mut Survey) {
        survey.holders = self.group.commit_holders(self.node.now());
        let servers = self.group.servers();
        survey.leaving = servers
            .iter()
            .filter(|server| server.is_draining())
            .map(|server| Arc::clone(&server.name))
            .collect();
        let term = self.term.max(survey.acknowledged.term) + 1;
        // A server paused by an earlier attempt may have restarted since.
        survey.paused.clear();
        survey.receiving.clear();
        let is_planned = self.reason == Reason::Leaving;
        let this = &*self;
        let requests = servers.iter().map(|server| async move {
            let is_old = this.old.as_ref().is_some_and(|old| old.name == server.name);
            let statement = match (is_old, is_planned) {
                // A silent primary is left alone, as it may recover.
                (true, _) if this.reason == Reason::Silent => return (server, true, None),
                (true, _) => Statement::Demote { term },
                (false, true) => Statement::Status,
                (false, false) => Statement::Pause { term },
            };
            (server, is_old, this.run_command(server, &statement).await)
        });
        let departed = self.group.unconfirmed_departures();
        let (replies, departed) = join(
            join_all(requests),
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
        for (server, is_old, status) in replies {
            let Some(status) = status else {
                continue;
            };
            let name = Arc::clone(&server.name);
            self.term = self.term.max(status.term).max(status.paused_term);
            if status.role == Role::Primary {
                self.on_other_primary(server, term).await;
            } else if is_old {
                survey.demoted = Some((name, status.received));
            } else if status.paused_term > 0 {
                survey.paused.insert(name, status.received);
            } else {
                survey.receiving.insert(name, status.received);
            }
        }
    }

    /// Handles a server other than the old primary that acts as primary.
    async fn on_other_primary(&mut self, server: &Arc<Server>, term: u64) {
        if self.is_unchecked() && self.old.is_none() && !self.was_replaced {
            // The group has had no other primary, so this one only was not found.
            self.old = Some(Arc::clone(server));
            self.reason = Reason::Silent;
            self.believe(Some(server));
        } else if self.is_unchecked() {
            // It has been replaced and was not demoted yet.
            self.run_command(server, &Statement::Demote { term }).await;
        } else {
            // It leads in a term that this instance doesn't know yet.
            task::leader::probe(self.node, self.group, server).await;
        }
    }

    /// Pauses a departed server and returns its position, or finds that it has stopped.
    async fn stop_departed(
        &self,
        name: &Arc<str>,
        entry: &settings::Server,
        term: u64,
    ) -> Option<(Arc<str>, Position)> {
        match command::run_dedicated(
            self.node,
            self.group,
            name,
            entry,
            &Statement::Pause { term },
        )
        .await
        {
            Ok(status) => {
                let status = status.filter(|status| status.paused_term > 0)?;
                Some((Arc::clone(name), status.received))
            }
            Err(error) => {
                if command::shows_server_gone(&error) {
                    self.group.on_departure_confirmed(name);
                }
                None
            }
        }
    }

    /// Requests a promotion until it is confirmed; `None` if it is rejected or never confirmed.
    async fn promote(&self, claim: &mut Claim, server: &Arc<str>) -> Option<()> {
        if self.is_unchecked() {
            claim.lease.requested = Some(Arc::clone(server));
            if !claim.renew(self.node, self.group, Phase::Working).await {
                return None;
            }
        }
        let order = Order {
            group: Arc::clone(&self.group.name),
            server: Arc::clone(server),
            holder: Arc::clone(&self.node.options.name),
            token: claim.lease.token,
        };
        for _ in 0..ATTEMPTS_MAX {
            if self.is_unchecked()
                && !claim.is_current(self.node.now())
                && !claim.renew(self.node, self.group, Phase::Working).await
            {
                // Another instance may have taken over and requested a promotion.
                return None;
            }
            let given = timeout(
                PROMOTION_TIMEOUT,
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

    /// Waits until the promoted server proves its leadership, or `PROOF_TIMEOUT` passes.
    async fn wait_for_leader(&self, chosen: &Arc<str>) {
        let deadline = Instant::now() + PROOF_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(server) = self.group.server(chosen) {
                task::leader::probe(self.node, self.group, &server).await;
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

    /// Tells the other instances about the new leader, so that they need not search for it.
    async fn announce(&self, leader: &Arc<str>) {
        for address in self.node.peer_addresses().into_values() {
            let payload = Payload::NewLeader {
                group: Arc::clone(&self.group.name),
                server: Arc::clone(leader),
            };
            self.node.peers.send(self.node, address, payload).await;
        }
    }

    /// Resumes paused replicas.
    async fn resume(&self, leader: &Arc<str>) {
        for _ in 0..RESUME_ATTEMPTS_MAX {
            let mut is_any_paused = false;
            let servers = self.group.servers();
            let resumed = servers
                .iter()
                .filter(|server| server.name != *leader)
                .map(|server| self.run_command(server, &Statement::Resume));
            for status in join_all(resumed).await {
                is_any_paused |= status.is_none_or(|status| status.paused_term > 0);
            }
            if !is_any_paused {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
        log::warn!("event=replicas-not-resumed group={}", self.group.name);
    }

    /// Runs a command or status query at a server, on a pooled connection unless it is the old
    /// primary.
    async fn run_command(&self, server: &Arc<Server>, statement: &Statement) -> Option<Status> {
        let is_old = self.old.as_ref().is_some_and(|old| old.name == server.name);
        if !is_old && let Some(status) = command::run_pooled(self.node, server, statement).await {
            return Some(status);
        }
        let entry = lock(&server.entry).clone();
        command::run_dedicated(self.node, self.group, &server.name, &entry, statement)
            .await
            .ok()
            .flatten()
    }
}
