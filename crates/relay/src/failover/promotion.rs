//! Promotes a server and lets all instances know it.

use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use clock::Time;
use endpoint::Position;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::external::Order;
use crate::external::Outcome;
use crate::external::Validity;
use crate::failover::Phase;
use crate::failover::claim::Claim;
use crate::group::Appointment;
use crate::group::Group;
use crate::node::Fencing;
use crate::node::Node;
use crate::node::lock;
use crate::peers::Payload;
use crate::task;

/// Maximum wait for the reply to a promotion request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause between two attempts of a step.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Attempts of a step before the lease is given up; a new failover gets a new token.
const ATTEMPTS_MAX: u32 = 60;
/// A promotion usually takes effect within this time.
const EFFECT_TIME: Duration = Duration::from_millis(700);
/// Maximum wait for the other instances' views.
const VIEW_TIMEOUT: Duration = Duration::from_millis(40);
/// How long a promoted server may take to prove its leadership.
const PROOF_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The time in which an order of this instance may be sent and answered.
struct Window<'a> {
    node: &'a Node,
    order: &'a Order,
    /// When the order must have been sent.
    send_deadline: Time,
    /// When the order is given up.
    end: Time,
}

impl Validity for Window<'_> {
    fn may_send(&self) -> bool {
        let is_newest = self.node.leases.tenures.newest(&self.order.group) <= self.order.token;
        is_newest && self.node.now() < self.send_deadline
    }

    fn time_left(&self) -> Duration {
        Duration::from(self.end.since(self.node.now()))
    }
}

/// The answer to an order as its holder understands it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The promotion takes effect.
    Accepted,
    /// The promotion is rejected, or another instance may have taken the lease over.
    Rejected,
    /// Nothing was sent, or there was no answer.
    Open,
}

/// The promotion of a server of one group.
pub struct Promotion<'a> {
    node: &'a Arc<Node>,
    group: &'a Arc<Group>,
}

impl<'a> Promotion<'a> {
    /// Prepares to promote a server of a group.
    pub fn open(node: &'a Arc<Node>, group: &'a Arc<Group>) -> Self {
        Self { node, group }
    }

    /// Requests the promotion of the present leader until it is confirmed; `None` if it is rejected or
    /// never confirmed, if the server no longer leads, or if another instance may have taken the lease
    /// over.
    pub async fn confirm(&self, claim: &mut Claim, leader: &Arc<str>) -> Option<()> {
        for attempt in 1..=ATTEMPTS_MAX {
            match self.request(claim, leader, None, attempt).await {
                Answer::Accepted => return Some(()),
                Answer::Rejected => return None,
                Answer::Open => {}
            }
            sleep(RETRY_PAUSE).await;
            if self
                .group
                .leader()
                .is_none_or(|known| known.name != *leader)
            {
                return None;
            }
        }
        None
    }

    /// Requests a promotion once. Before it is repeated the logs must be read again, as the server may
    /// have started again without its log.
    ///
    /// `end` is a position that the server's log has reached.
    pub async fn request(
        &self,
        claim: &mut Claim,
        server: &Arc<str>,
        end: Option<Position>,
        attempt: u32,
    ) -> Answer {
        let requested = self.is_unchecked().then(|| Arc::clone(server));
        let reign = Some(claim.lease.token);
        let is_recorded = claim.lease.reign == reign
            && claim.lease.end == end
            && claim.lease.requested == requested;
        claim.lease.reign = reign;
        claim.lease.end = end;
        claim.lease.requested = requested;
        let order = Order {
            group: Arc::clone(&self.group.name),
            server: Arc::clone(server),
            holder: Arc::clone(&self.node.options.name),
            token: claim.lease.token,
        };
        // A successor must know the server before the request can take effect.
        let is_renewal_due = !is_recorded || !claim.is_current(self.node.now());
        if self.is_unchecked() && is_renewal_due && self.renew(claim).await.is_none() {
            self.log_withheld(&order, attempt, claim);
            return Answer::Rejected;
        }
        let begun = self.node.now();
        let age = claim.age(begun);
        let promoter = &self.node.dependencies.promoter;
        let validity = Window {
            node: self.node,
            order: &order,
            send_deadline: self.send_deadline(claim, begun),
            end: begun + Span::from(REQUEST_TIMEOUT),
        };
        let given = timeout(REQUEST_TIMEOUT, promoter.promote(&order, &validity)).await;
        let is_unanswered = !matches!(given, Ok(Ok(_)));
        log::info!(
            "event=order group={} server={server} token={} attempt={attempt} claim_age_ms={} took_ms={} may_take_effect_later={is_unanswered} answer=\"{given:?}\"",
            order.group,
            order.token,
            age.as_millis(),
            self.node.now().since(begun).as_millis()
        );
        self.node.metrics.order(match &given {
            Ok(Ok(outcome)) => outcome.label(),
            Ok(Err(_)) | Err(_) => "unanswered",
        });
        match given {
            Ok(Ok(Outcome::Done)) => Answer::Accepted,
            Ok(Ok(Outcome::Rejected)) => {
                // Earlier ones that got no answer are recorded as such.
                claim.lease.requested = None;
                Answer::Rejected
            }
            Ok(Ok(Outcome::Deferred | Outcome::Unsent)) => Answer::Open,
            Ok(Err(_)) | Err(_) => {
                claim.on_unanswered(self.node, self.group, server);
                Answer::Open
            }
        }
    }

    /// Returns when an order begun at `begun` must have been sent.
    fn send_deadline(&self, claim: &Claim, begun: Time) -> Time {
        let end = begun + Span::from(REQUEST_TIMEOUT);
        match self.is_unchecked() {
            // Another instance may order something else later.
            true => end.min(claim.current_until()),
            false => end,
        }
    }

    /// Logs that an order was not given, as the lease may have passed to another instance.
    fn log_withheld(&self, order: &Order, attempt: u32, claim: &Claim) {
        self.node.metrics.order("withheld");
        log::info!(
            "event=order-withheld group={} server={} token={} attempt={attempt} claim_age_ms={} newest_token={}",
            order.group,
            order.server,
            order.token,
            claim.age(self.node.now()).as_millis(),
            self.node.leases.tenures.newest(&order.group)
        );
    }

    /// Waits until the promoted server proves its leadership, to this or another instance, or
    /// `PROOF_TIMEOUT` passes.
    pub async fn wait_for_proof(&self, chosen: &Arc<str>) {
        let deadline = Instant::now() + PROOF_TIMEOUT;
        let effect_due = Instant::now() + EFFECT_TIME;
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
            if Instant::now() >= effect_due && self.has_proven_elsewhere(chosen).await {
                return;
            }
            sleep(RETRY_PAUSE / 2).await;
        }
    }

    /// Returns whether the promoted server has proven its leadership to another instance, as this one
    /// may not reach it.
    async fn has_proven_elsewhere(&self, chosen: &Arc<str>) -> bool {
        self.announce(chosen).await;
        let peers = &self.node.peers;
        let views = peers
            .query_views(self.node, &self.group.name, VIEW_TIMEOUT)
            .await;
        views.iter().any(|(_, view)| view.confirms(Some(chosen)))
    }

    /// Records the new leader in the lease, which lets the instances rely on it.
    pub async fn record(&self, claim: &mut Claim) {
        for _ in 0..ATTEMPTS_MAX {
            let is_written = claim.renew(self.node, self.group, Phase::Appointed).await;
            if is_written || !claim.is_current(self.node.now()) {
                return;
            }
            // The announcement may have been lost.
            self.announce_settled(claim).await;
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Lets the instances rely on the leader again, also while the lease can't be written.
    pub async fn settle(&self, claim: &mut Claim, leader: &Arc<str>) {
        if let Some(server) = self.group.server(leader) {
            claim.lease.leader = Some(lock(&server.entry).address);
        }
        claim.lease.requested = None;
        self.announce_settled(claim).await;
    }

    /// Tells all instances that the replacement is settled.
    async fn announce_settled(&self, claim: &Claim) {
        let appointment = Appointment {
            is_settled: true,
            ..claim.lease.appointment()
        };
        self.group.on_appointment_announced(appointment);
        for address in self.node.peer_addresses().into_values() {
            let payload = Payload::ReplacementSettled {
                group: Arc::clone(&self.group.name),
                token: appointment.token,
                leader: appointment.leader,
                reign: appointment.reign,
                end: appointment.end,
            };
            self.node.peers.send(self.node, address, payload).await;
        }
    }

    /// Tells the other instances about the new leader, so that they need not search for it.
    pub async fn announce(&self, leader: &Arc<str>) {
        for address in self.node.peer_addresses().into_values() {
            let payload = Payload::NewLeader {
                group: Arc::clone(&self.group.name),
                server: Arc::clone(leader),
            };
            self.node.peers.send(self.node, address, payload).await;
        }
    }

    fn is_unchecked(&self) -> bool {
        self.node.options.fencing == Fencing::Unchecked
    }

    /// Renews the lease; `None` if that fails.
    async fn renew(&self, claim: &mut Claim) -> Option<()> {
        let is_renewed = claim.renew(self.node, self.group, Phase::Working).await;
        is_renewed.then_some(())
    }
}
