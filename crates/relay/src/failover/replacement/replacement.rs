//! The steps of replacing a group's primary.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::Span;
use clock::Time;
use endpoint::Position;
use futures::future::join;
use tokio::time::sleep;

use crate::failover::Bound;
use crate::failover::Choice;
use crate::failover::Mediation;
use crate::failover::Opinion;
use crate::failover::Phase;
use crate::failover::Promotion;
use crate::failover::Reason;
use crate::failover::Retirement;
use crate::failover::Survey;
use crate::failover::bound::Source;
use crate::failover::claim::Claim;
use crate::failover::claim::Takeover;
use crate::failover::promotion::Answer;
use crate::failover::registrations;
use crate::group::Group;
use crate::group::Server;
use crate::group::UNKNOWN_PRIMARY;
use crate::node::Fencing;
use crate::node::Node;
use crate::node::lock;
use crate::peers::View;
use crate::task;

/// Maximum wait for other instances' views of the group; a round trip between zones takes 3 ms.
const PEER_VIEW_TIMEOUT: Duration = Duration::from_millis(80);
/// A promotion usually takes effect within this time; the platform specifies a few hundred
/// milliseconds.
const PROMOTION_SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// Pause between two attempts of a step.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Attempts of a step before the lease is given up; a new failover gets a new token.
const ATTEMPTS_MAX: u32 = 60;
/// An instance that has run this long knows every server of the last half minute.
const MEMBERSHIP_LEARNED_AFTER: Span = Span::from_secs(30);
/// How often the lease is renewed, so that no other instance presumes the holder dead.
const LEASE_RENEWAL_PERIOD: Span = Span::from_millis(1_000);
/// Attempts to demote a primary in an evacuated zone before it counts as silent; one lost reply is
/// no reason to pause the replicas.
const DEMOTION_ATTEMPTS_MAX: u32 = 2;
/// Attempts to find a replica with the whole log of a primary that other instances demoted, before the
/// replicas are paused; what the primary sent last arrives within a round trip.
const TAIL_ATTEMPTS_MAX: u32 = 3;

/// One attempt to replace a primary.
pub struct Replacement<'a> {
    pub(super) node: &'a Arc<Node>,
    pub(super) group: &'a Arc<Group>,
    pub(super) reason: Reason,
    /// The primary known when the attempt began.
    pub(super) old: Option<Arc<Server>>,
    /// The newest term reported by any server; pause and demote commands need a newer one.
    pub(super) term: u64,
    /// Whether the group's primary was ever replaced.
    pub(super) was_replaced: bool,
    /// The address of the leader that the table names, unless another promotion may be pending.
    pub(super) appointed: Option<SocketAddr>,
    /// The end of the instances' reliance on the old primary; `None` until the lease is held.
    pub(super) retirement: Option<Retirement>,
    /// The other instances that reach the old primary.
    pub(super) mediation: Mediation,
    /// When all replicas that may have confirmed an acknowledged commit have written their entries.
    pub(super) registered_by: Time,
    /// Servers that answered the last attempt's pause or demote commands and did not follow them.
    pub(super) ineffective_commands: u32,
    /// How often the term of the commands was raised since one had no effect.
    pub(super) term_raises: u64,
    /// The term of the last attempt's pause and demote commands.
    pub(super) command_term: u64,
    /// What was missing in the last attempt, for the log.
    pub(super) missing: &'static str,
    /// The servers' answers in the last attempt, for the log.
    pub(super) statuses: Vec<String>,
    /// Whether the old primary steps down, so that replicas need not be paused to read their logs.
    pub(super) is_handover: bool,
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
            appointed: None,
            retirement: None,
            mediation: Mediation::default(),
            registered_by: Time::default(),
            ineffective_commands: 0,
            term_raises: 0,
            command_term: 0,
            missing: "the promotion was not confirmed",
            statuses: Vec::new(),
            is_handover: reason.is_planned(),
        }
    }

    /// Replaces the primary unless the other instances' views speak against it or no server can be
    /// promoted without losing commits.
    pub async fn run(&mut self) {
        if self.reason.is_planned() && self.has_pending_order() {
            // Its primary would be demoted long before another server may be promoted.
            log::info!(
                "event=failover-put-off group={} reason={} why=\"an order without an answer is pending\"",
                self.group.name,
                self.reason
            );
            return;
        }
        let asked = self.node.now();
        let views = self
            .node
            .peers
            .query_views(self.node, &self.group.name, PEER_VIEW_TIMEOUT)
            .await;
        let old = self.old.as_ref().map(|old| &old.name);
        self.mediation = Mediation::open(&views, old);
        let answered = self.node.now();
        let mut bound = self.group.bound();
        for (address, view) in &views {
            bound.raise(view.acknowledged, Source::View(*address), answered);
            if view.acknowledged > Position::default() {
                // The age is that at the time of the answer, so the commit was not sent earlier.
                let age = Span::from_millis(view.commit_age_ms);
                self.group.on_commit_elsewhere(asked - age);
            }
        }
        let views: Vec<View> = views.into_iter().map(|(_, view)| view).collect();
        let opinion = Opinion::of(&views, old);
        log::info!(
            "event=views group={} reason={} old={} asked={} answers={} naming={} newer={}",
            self.group.name,
            self.reason,
            old.map_or("-", |old| old),
            self.node.peer_addresses().len(),
            opinion.answers,
            views.iter().filter(|view| view.confirms(old)).count(),
            opinion.newer
        );
        if opinion.answers * 2 < self.node.peer_addresses().len() {
            // Most instances are unreachable, so they may reach a primary that this one can't.
            self.group
                .is_leader_unreachable
                .store(true, Ordering::Relaxed);
        }
        if opinion.contradicts(self.reason) {
            self.put_off(&opinion);
            return;
        }
        if !self.reason.is_planned() && !self.reaches_successors().await {
            // Its claim would only stop the commits of instances that reach the primary.
            log::info!(
                "event=failover-put-off group={} reason={} why=\"too few servers answer\"",
                self.group.name,
                self.reason
            );
            return;
        }
        if !self.knows_membership() {
            return;
        }
        let known_token = self.node.leases.newest_token(&self.group.name);
        let known_token = known_token.max(opinion.token);
        let Some(mut claim) = Claim::acquire(self.node, self.group, known_token).await else {
            return;
        };
        if let Some(recorded) = claim.bound() {
            bound.raise(recorded, Source::Row, self.node.now());
        }
        claim.set_bound(Some(bound.position));
        log::info!(
            "event=failover-begun group={} reason={} old={} token={} acknowledged={}",
            self.group.name,
            self.reason,
            old.map_or("-", |old| old),
            claim.lease.token,
            bound.position
        );
        self.log_bound(&bound);
        let begun = self.node.now();
        if self.is_unchecked() && !self.take_appointed(&claim) {
            let leader = claim.lease.leader;
            self.release(&mut claim, leader.is_some()).await;
            return;
        }
        let token = claim.lease.token;
        self.retirement = Some(Retirement::open(self.node, self.group, token).await);
        let (node, group) = (self.node, self.group);
        let tenures = &node.leases.tenures;
        let replaced = self.replace(&mut claim, bound);
        let replaced = tenures.run(&group.name, token, replaced).await;
        let promoted = replaced.flatten();
        log::info!(
            "event=failover-ended group={} promoted={} token={} ms={}",
            self.group.name,
            promoted.as_deref().unwrap_or("-"),
            claim.lease.token,
            self.node.now().since(begun).as_millis()
        );
        self.report_outcome(&promoted);
        let concluded = self.conclude(&mut claim, promoted.as_ref());
        if tenures.run(&group.name, token, concluded).await.is_none() {
            self.on_superseded(token);
        }
        self.group
            .change_leader_lease(|lease| lease.set_candidate(None));
        self.node.leader_appointed.notify_one();
    }

    /// Lets the instances rely on the leader again and releases the lease.
    async fn conclude(&self, claim: &mut Claim, promoted: Option<&Arc<str>>) {
        if let Some(leader) = promoted {
            let promotion = self.promotion();
            promotion.settle(claim, leader).await;
            // Replicas may be resumed for many seconds, in which another server may be promoted.
            self.group
                .change_leader_lease(|lease| lease.set_candidate(None));
            promotion.announce(leader).await;
            join(promotion.record(claim), self.resume(leader)).await;
        }
        self.release(claim, promoted.is_some()).await;
    }

    /// Records that the replacement was ended as another instance has begun a newer one.
    fn on_superseded(&self, token: u64) {
        log::info!(
            "event=failover-superseded group={} token={token} newest_token={}",
            self.group.name,
            self.node.leases.tenures.newest(&self.group.name)
        );
        // Replicas that it has paused may not be known to the other instance.
        lock(&self.group.recheck).on_failed(self.node.now());
    }

    /// Records that the other instances' views speak against a replacement.
    fn put_off(&self, opinion: &Opinion) {
        log::info!(
            "event=failover-put-off group={} reason={} vouchers={} newer={} asked={}",
            self.group.name,
            self.reason,
            opinion.confirming,
            opinion.newer,
            opinion.answers
        );
        if opinion.newer == 0 && self.reason == Reason::Silent {
            self.group
                .is_leader_unreachable
                .store(true, Ordering::Relaxed);
        }
        if opinion.newer > 0
            && let Some(old) = &self.old
        {
            self.group.on_not_leader(&old.name);
        }
    }

    /// Returns whether an order that got no answer may still be carried out, as far as is known.
    fn has_pending_order(&self) -> bool {
        let leases = &self.node.leases;
        let newest = leases.newest(&self.group.name);
        let order = newest.and_then(|lease| lease.unanswered);
        order.is_some_and(|order| {
            leases
                .unanswered
                .is_pending(self.node.now(), &self.group.name, &order)
        })
    }

    pub(super) fn is_unchecked(&self) -> bool {
        self.node.options.fencing == Fencing::Unchecked
    }

    fn promotion(&self) -> Promotion<'a> {
        Promotion::open(self.node, self.group)
    }

    /// Takes the leader named by the table for the one to replace, as any other server that acts as
    /// primary has been replaced; returns whether it still must be.
    fn take_appointed(&mut self, claim: &Claim) -> bool {
        self.was_replaced = claim.lease.leader.is_some() || claim.lease.requested.is_some();
        let is_pending = claim.lease.requested.is_some();
        self.appointed = claim.lease.leader.filter(|_| !is_pending);
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
    pub(super) fn believe(&self, server: Option<&Arc<Server>>) {
        let address = server.map(|server| lock(&server.entry).address);
        self.group
            .change_leader_lease(|lease| lease.set_candidate(address));
    }

    /// Asks the instances that may still rely on the old leader to stop.
    async fn retire(&mut self, survey: &mut Survey) {
        if let Some(retirement) = &mut self.retirement {
            retirement.request(self.node, self.group).await;
        }
        if let Some(retirement) = &self.retirement {
            let bound = retirement.acknowledged();
            self.registered_by = self.registered_by.max(bound.registered_by);
            if bound.position > survey.acknowledged {
                survey.acknowledged = bound.position;
                self.log_bound(bound);
            }
        }
    }

    /// Returns whether no instance acknowledges commits or reads of the old leader any more.
    fn is_retired(&self) -> bool {
        let retirement = self.retirement.as_ref();
        retirement.is_none_or(|retirement| retirement.has_ended(self.node))
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
        let token = claim.lease.token;
        let (node, group) = (self.node, self.group);
        let finished = self.finish(&mut claim);
        let tenures = &node.leases.tenures;
        if tenures.run(&group.name, token, finished).await.is_none() {
            self.on_superseded(token);
        }
    }

    /// Finds the leader of a replacement that was taken over, and resumes the replicas.
    async fn finish(&mut self, claim: &mut Claim) {
        let leader = self.recovered_primary(claim).await;
        log::info!(
            "event=failover-finished group={} leader={} token={}",
            self.group.name,
            leader.as_deref().unwrap_or("-"),
            claim.lease.token
        );
        if let Some(leader) = &leader {
            self.promotion().settle(claim, leader).await;
            self.resume(leader).await;
        }
        self.release(claim, leader.is_some()).await;
    }

    /// Writes the outcome to the lease. An unsettled failover may have left a pending promotion and
    /// paused replicas, so it stays `Working` for the next holder to see.
    async fn release(&self, claim: &mut Claim, is_settled: bool) {
        // Without a request for a promotion the leader can't have changed.
        let is_unchanged = claim.lease.reign != Some(claim.lease.token);
        let phase = if is_settled {
            // The leader's log has every acknowledged commit.
            claim.set_bound(None);
            Phase::Done
        } else {
            lock(&self.group.recheck).on_failed(self.node.now());
            match is_unchanged {
                true => Phase::Appointed,
                false => Phase::Working,
            }
        };
        if !claim.renew(self.node, self.group, phase).await {
            // The row may show the replacement as under way for ever.
            lock(&self.group.recheck).on_replacement(self.node.now());
        }
    }

    /// Returns whether enough of the group's servers are known to replace a primary safely.
    ///
    /// An instance that has just started doesn't know servers whose entries expired before, unless
    /// the holder of an unfinished replacement listed them.
    fn knows_membership(&self) -> bool {
        let now = self.node.now();
        let mut known = self.group.commit_holders();
        known.remove(UNKNOWN_PRIMARY);
        let unfinished = self.node.leases.newest(&self.group.name);
        if let Some(lease) = unfinished.filter(|lease| lease.phase != Phase::Done) {
            known.extend(lease.commit_holders);
        }
        let sync_replicas = lock(&self.group.settings).sync_replicas;
        // The primary, its synchronous replicas and one more server.
        let has_enough =
            known.len() >= sync_replicas + 2 || now >= self.node.started + MEMBERSHIP_LEARNED_AFTER;
        has_enough && lock(&self.group.departures).is_read()
    }

    /// Replaces the primary while the lease is held; returns the server that leads now.
    async fn replace(&mut self, claim: &mut Claim, bound: Bound) -> Option<Arc<str>> {
        let mut survey = Survey {
            sync_replicas: lock(&self.group.settings).sync_replicas,
            acknowledged: bound.position,
            ..Survey::default()
        };
        self.registered_by = bound.registered_by;
        let mut renewed = self.node.now();
        for attempt in 1..=ATTEMPTS_MAX {
            if self.reason == Reason::Silent
                && (self.is_unchecked() || claim.ordered().is_none())
                && let Some(old) = self.recovered_primary(claim).await
            {
                return Some(old);
            }
            if attempt == 1 {
                self.demote_through_others(&mut survey).await;
            } else if attempt > TAIL_ATTEMPTS_MAX {
                self.is_handover = self.reason.is_planned();
            }
            if !self.reason.is_planned() {
                self.retire(&mut survey).await;
            }
            claim.set_bound(Some(survey.acknowledged));
            // A commit that is acknowledged later may be missing in the survey.
            let mut is_retired = self.is_retired();
            self.collect(&mut survey).await;
            if self.reason.is_planned() {
                // The instances acknowledge what the primary committed before it was demoted.
                self.retire(&mut survey).await;
                is_retired = self.is_retired();
            }
            if self.reason.is_planned()
                && attempt >= DEMOTION_ATTEMPTS_MAX
                && !survey.has_whole_log()
            {
                // It or its zone may have failed; then only paused replicas prove what was acknowledged.
                log::info!("event=primary-not-demoted group={}", self.group.name);
                self.reason = Reason::Silent;
                self.is_handover = false;
            }
            if !self.is_unchecked()
                && let Some(leader) = self.other_leader()
            {
                if claim.ordered().is_some_and(|ordered| *ordered != leader) {
                    // The next claim's token has the order rejected.
                    return None;
                }
                self.fence_pending(claim, &leader).await?;
                return Some(leader);
            }
            survey.is_complete = self.node.now() >= self.registered_by;
            let (choice, rule) = self.choose(claim, &survey);
            if !self.is_unchecked()
                && let (Choice::Promote(chosen), Some(ordered)) = (&choice, claim.ordered())
                && chosen != ordered
            {
                return None;
            }
            match choice {
                // A demoted primary that restarts may lead again.
                Choice::Promote(_) if !is_retired => {
                    self.log_wait(attempt, "an instance may rely on the old leader", &survey);
                }
                Choice::Promote(chosen)
                    if claim.has_pending_order_for_other(self.node, self.group, &chosen) =>
                {
                    self.log_wait(attempt, "an order without an answer is pending", &survey);
                }
                // A server that started again answers as its former run until its entry is read.
                Choice::Promote(_)
                    if rule == Survey::BY_STOPPED_LOGS
                        && !registrations::are_known(self.node, self.group, &survey.holders)
                            .await =>
                {
                    self.log_wait(attempt, "a server has started or started again", &survey);
                }
                Choice::Promote(chosen) => {
                    log::info!(
                        "event=failover-chosen group={} server={chosen} rule=\"{rule}\" survey=\"{survey:?}\"",
                        self.group.name
                    );
                    // A pending promotion may roll the server back before this one takes effect.
                    let end = survey
                        .position(&chosen)
                        .filter(|_| !claim.may_have_pending_promotion());
                    let promotion = self.promotion();
                    match promotion.request(claim, &chosen, end, attempt).await {
                        Answer::Accepted => {
                            self.believe(self.group.server(&chosen).as_ref());
                            promotion.wait_for_proof(&chosen).await;
                            return Some(chosen);
                        }
                        Answer::Rejected => return None,
                        Answer::Open => {}
                    }
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

    /// Returns what to do after a survey, and by which rule.
    ///
    /// A server whose promotion was requested before is preferred, since that may take effect at any
    /// time, unless it has lost its log since.
    fn choose(&self, claim: &Claim, survey: &Survey) -> (Choice, &'static str) {
        let choice = survey.choose();
        let requested = self.requested_earlier(claim);
        let has_whole_log = |server: &Arc<str>| {
            let end = match &choice {
                Choice::Promote(chosen) => survey.position(chosen),
                Choice::Wait { .. } => Some(survey.acknowledged),
            };
            survey.position(server) >= end
        };
        match requested.filter(has_whole_log) {
            Some(server) => (Choice::Promote(server), "requested earlier"),
            None => (choice, survey.rule()),
        }
    }

    /// Returns the server whose promotion was requested before, by this claim or an earlier holder.
    fn requested_earlier(&self, claim: &Claim) -> Option<Arc<str>> {
        let requested = match self.is_unchecked() {
            true => claim.lease.requested.as_ref(),
            false => claim.ordered(),
        };
        let server = self.group.server(requested?)?;
        Some(Arc::clone(&server.name))
    }

    /// Returns the old primary if it leads again.
    ///
    /// If an earlier promotion may still be pending, the old primary is promoted again with the new
    /// token. That changes nothing at the server, but has the earlier promotion rejected before the
    /// replicas resume. Otherwise no promotion is requested: it takes effect with a delay and would
    /// reinstate the server even if it had been demoted meanwhile.
    async fn recovered_primary(&mut self, claim: &mut Claim) -> Option<Arc<str>> {
        // It may have started again, which closes the connections to its former run.
        if let Some(old) = &self.old
            && let Some(current) = self.group.server(&old.name)
        {
            self.old = Some(current);
        }
        let old = self.old.as_ref()?;
        if self
            .requested_earlier(claim)
            .is_some_and(|requested| requested != old.name)
        {
            return None;
        }
        if claim.has_pending_order_for_other(self.node, self.group, &old.name) {
            return None;
        }
        let probed = self.node.now();
        task::leader::probe(self.node, self.group, old).await;
        if lock(&self.group.leadership).proven_at() < probed {
            return None;
        }
        let old = Arc::clone(&old.name);
        self.fence_pending(claim, &old).await?;
        Some(old)
    }

    /// Requests the promotion of the leader if an earlier one may still take effect, which has the
    /// earlier one rejected; `None` if that fails.
    async fn fence_pending(&self, claim: &mut Claim, leader: &Arc<str>) -> Option<()> {
        let is_pending = match self.is_unchecked() {
            true => claim.lease.requested.is_some(),
            false => claim.may_have_pending_promotion(),
        };
        if is_pending {
            self.promotion().confirm(claim, leader).await?;
            // Keeps the lease until the promotion has taken effect.
            sleep(PROMOTION_SETTLE_TIME).await;
        }
        Some(())
    }

    /// Returns the leader if it is not the old primary.
    fn other_leader(&self) -> Option<Arc<str>> {
        let leader = self.group.leader()?;
        let is_old = self.old.as_ref().is_some_and(|old| old.name == leader.name);
        (!is_old).then(|| Arc::clone(&leader.name))
    }
}
