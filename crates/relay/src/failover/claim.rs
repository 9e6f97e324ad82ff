//! A failover lease held by this instance.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;
use store::Outcome;
use store::Row;
use tokio::time::timeout;

use crate::failover::Evidence;
use crate::failover::Lease;
use crate::failover::Phase;
use crate::failover::Unanswered;
use crate::failover::row;
use crate::failover::row::TABLE_TIMEOUT;
use crate::group::Group;
use crate::node::Fencing;
use crate::node::Node;
use crate::node::lock;

/// Age of the last renewal up to which promotion requests are sent. Another instance takes the lease
/// over no sooner than 3.5 s after a renewal, and a request is given up after 1.2 s.
const RENEWAL_MAX_AGE: Span = Span::from_millis(2_000);

/// A failover lease held by this instance.
pub struct Claim {
    /// The lease as written to the row.
    pub lease: Lease,
    /// The version of the row that holds it.
    version: u64,
    /// When the last successful write of the row began.
    renewed: Time,
    /// Whether the previous holder left its replacement in `Phase::Working`.
    is_predecessor_unfinished: bool,
    /// The server of an order with this token that got no answer. Only an order with a higher token has
    /// it rejected where fences are checked.
    ordered: Option<Arc<str>>,
}

/// The outcome of trying to take over a lease whose holder may have died mid-failover.
pub enum Takeover {
    /// The last holder finished its failover.
    NotNeeded,
    /// This instance now holds the lease and finishes the failover.
    Acquired(Box<Claim>),
    /// The holder may still be alive, or the table does not answer.
    Unknown,
}

impl Claim {
    /// Returns whether a promotion requested by an earlier holder may still take effect.
    pub fn may_have_pending_promotion(&self) -> bool {
        self.is_predecessor_unfinished
    }

    /// Acquires a group's lease; `None` if another instance holds it or the table does not answer.
    ///
    /// The token is higher than `known_token`, the highest one that any instance knows, also if the
    /// table returned from an older copy.
    pub async fn acquire(node: &Node, group: &Group, known_token: u64) -> Option<Self> {
        let row = row::read(node, group, &Lease::key(&group.name)).await?;
        Self::acquire_from(node, group, row, Phase::Working, known_token).await
    }

    /// Returns whether no other instance can have taken the lease over.
    pub fn is_current(&self, now: Time) -> bool {
        now < self.current_until()
    }

    /// Returns when another instance may begin to take the lease over, unless it is renewed.
    pub fn current_until(&self) -> Time {
        self.renewed + RENEWAL_MAX_AGE
    }

    /// Returns the time since the last successful write of the row began.
    pub fn age(&self, now: Time) -> Span {
        now.since(self.renewed)
    }

    /// Acquires a group's lease if its holder died during a failover, or if this instance may have
    /// left replicas paused.
    pub async fn acquire_abandoned(node: &Node, group: &Group) -> Takeover {
        let Some(row) = row::read(node, group, &Lease::key(&group.name)).await else {
            return Takeover::Unknown;
        };
        let lease = row.as_ref().and_then(Lease::parse);
        let lease = lease.map(|lease| {
            let announced = group.announced_appointment(lease.token);
            lease.settled(announced)
        });
        let phase = lease.map_or(Phase::Done, |lease| lease.phase);
        let phase = match phase {
            Phase::Done if !lock(&group.recheck).may_have_paused() => return Takeover::NotNeeded,
            // The leader stays.
            Phase::Done => Phase::Appointed,
            unfinished => unfinished,
        };
        if phase == Phase::Working && node.options.fencing == Fencing::Unchecked {
            // Nobody knows the leader, so the replacement is begun anew instead.
            return Takeover::Unknown;
        }
        let known_token = node.leases.newest_token(&group.name);
        let taken = Self::acquire_from(node, group, row, phase, known_token).await;
        taken.map_or(Takeover::Unknown, |claim| {
            Takeover::Acquired(Box::new(claim))
        })
    }

    async fn acquire_from(
        node: &Node,
        group: &Group,
        row: Option<Row>,
        phase: Phase,
        known_token: u64,
    ) -> Option<Self> {
        let key = Lease::key(&group.name);
        let now = node.now();
        if !node
            .leases
            .may_acquire(now, &group.name, row.as_ref(), &node.this_run())
        {
            return None;
        }
        let mut before = row.as_ref().and_then(Lease::parse);
        let newest = node.leases.newest(&group.name);
        let token = |lease: &Option<Lease>| lease.as_ref().map(|lease| lease.token);
        if token(&newest) > token(&before) {
            before = newest;
        }
        let before = before.map(|lease| {
            let announced = group.announced_appointment(lease.token);
            lease.settled(announced)
        });
        if let Some(before) = before.as_ref().filter(|lease| lease.phase != Phase::Done) {
            // The previous holder may know servers that were removed before this instance started.
            let evidence = before.evidence.as_deref().cloned().unwrap_or_default();
            group.restore_holders(&before.commit_holders, &evidence.runs);
        }
        let is_predecessor_unfinished = before
            .as_ref()
            .is_some_and(|lease| lease.phase == Phase::Working);
        let known_token = known_token
            .max(node.leases.tenures.newest(&group.name))
            .max(before.as_ref().map_or(0, |before| before.token));
        let token = Lease::next_token(node.dependencies.table.era(), row.as_ref(), known_token);
        let unanswered = before
            .as_ref()
            .filter(|_| node.options.fencing == Fencing::Unchecked)
            .and_then(Lease::pending_order);
        if let Some(order) = &unanswered {
            node.leases.unanswered.on_order(now, &group.name, order);
        }
        let is_pending =
            |order: &Unanswered| node.leases.unanswered.is_pending(now, &group.name, order);
        let has_request = before
            .as_ref()
            .is_some_and(|before| before.requested.is_some());
        // Where fences are checked, requests are not recorded before they are made.
        let may_have_requested =
            is_predecessor_unfinished && (node.options.fencing == Fencing::Enforced || has_request);
        let reign = match (&before, may_have_requested) {
            (_, true) => Some(token),
            (Some(before), false) => before.reign.or(Some(before.token)),
            (None, false) => Some(0),
        };
        let unfinished = before.as_ref().filter(|lease| lease.phase != Phase::Done);
        let bound = unfinished
            .and_then(|lease| lease.evidence.as_ref())
            .and_then(|evidence| evidence.bound);
        let lease = Lease {
            holder: Arc::clone(&node.options.name),
            incarnation: node.incarnation,
            address: Some(node.options.peer),
            token,
            phase,
            commit_holders: group.commit_holders(),
            evidence: Some(Box::new(Evidence {
                runs: group.runs(),
                bound,
            })),
            leader: before.as_ref().and_then(|before| before.leader),
            reign,
            end: before
                .as_ref()
                .filter(|_| !may_have_requested)
                .and_then(|before| before.end),
            requested: before
                .filter(|before| before.phase == Phase::Working)
                .and_then(|before| before.requested),
            unanswered: unanswered.filter(|order| is_pending(order)),
        };
        let (condition, write) = lease.compare_and_set(&group.name, row.as_ref());
        let commit = node.dependencies.table.commit(vec![condition], vec![write]);
        let version = match timeout(TABLE_TIMEOUT, commit).await {
            Ok(Ok(Outcome::Committed { version })) => version,
            Ok(Ok(Outcome::Conflict { .. })) => return None,
            failed => {
                log::info!(
                    "event=duty-in-doubt group={} why=\"{failed:?}\"",
                    group.name
                );
                let row = row::read(node, group, &key).await??;
                if Lease::parse(&row).is_none_or(|read| read != lease) {
                    return None;
                }
                row.version
            }
        };
        if !lease.is_of_era(version) {
            log::info!(
                "event=duty-outdated group={} token={} why=\"the table returned from an older copy\"",
                group.name,
                lease.token
            );
            return None;
        }
        node.leases.on_lease(&group.name, &lease);
        Some(Self {
            lease,
            version,
            renewed: now,
            is_predecessor_unfinished,
            ordered: None,
        })
    }

    /// Returns the server that an order of this claim may still promote, as it got no answer.
    pub fn ordered(&self) -> Option<&Arc<str>> {
        self.ordered.as_ref()
    }

    /// Records that an order of this claim to promote `server` got no answer.
    pub fn on_unanswered(&mut self, node: &Node, group: &Group, server: &Arc<str>) {
        self.ordered = Some(Arc::clone(server));
        if node.options.fencing == Fencing::Enforced {
            return;
        }
        let token = self.lease.token;
        let recorded = self.lease.unanswered.take();
        let recorded = recorded.filter(|order| order.token == token);
        let order = Unanswered {
            server: Arc::clone(server),
            token,
            count: recorded.map_or(0, |order| order.count) + 1,
        };
        node.leases
            .unanswered
            .on_order(node.now(), &group.name, &order);
        self.lease.unanswered = Some(Box::new(order));
    }

    /// Returns whether an order that got no answer may still promote another server than `server`,
    /// which would then lead without the commits acknowledged since.
    pub fn has_pending_order_for_other(&self, node: &Node, group: &Group, server: &str) -> bool {
        let order = self.lease.unanswered.as_ref();
        let other = order.filter(|order| *order.server != *server);
        other.is_some_and(|order| {
            node.leases
                .unanswered
                .is_pending(node.now(), &group.name, order)
        })
    }

    /// Returns the highest position in a reply that acknowledged a commit, as recorded.
    pub fn bound(&self) -> Option<Position> {
        self.lease.evidence.as_ref()?.bound
    }

    /// Sets the position that the next write of the row records.
    pub fn set_bound(&mut self, bound: Option<Position>) {
        self.lease.evidence.get_or_insert_default().bound = bound;
    }

    /// Renews the lease with `phase`; returns whether this instance still holds it.
    pub async fn renew(&mut self, node: &Node, group: &Group, phase: Phase) -> bool {
        let begun = node.now();
        self.lease.phase = phase;
        self.lease.commit_holders = group.commit_holders();
        let unanswered = &node.leases.unanswered;
        self.lease
            .unanswered
            .take_if(|order| !unanswered.is_pending(begun, &group.name, order));
        let bound = self.bound();
        self.lease.evidence = Some(Box::new(Evidence {
            runs: group.runs(),
            bound,
        }));
        let before = Row {
            key: Lease::key(&group.name),
            value: Arc::from(""),
            version: self.version,
        };
        let (condition, write) = self.lease.compare_and_set(&group.name, Some(&before));
        let commit = node.dependencies.table.commit(vec![condition], vec![write]);
        match timeout(TABLE_TIMEOUT, commit).await {
            Ok(Ok(Outcome::Committed { version })) => {
                self.version = version;
                self.renewed = begun;
                node.leases.on_lease(&group.name, &self.lease);
                true
            }
            failed => {
                log::info!(
                    "event=duty-unwritten group={} why=\"{failed:?}\"",
                    group.name
                );
                self.find_write(node, group, begun).await
            }
        }
    }

    /// Returns whether a write whose reply was lost took effect.
    async fn find_write(&mut self, node: &Node, group: &Group, begun: Time) -> bool {
        let row = row::read(node, group, &Lease::key(&group.name)).await;
        let Some(row) = row.flatten() else {
            return false;
        };
        let Some(read) = Lease::parse(&row) else {
            return false;
        };
        if read.incarnation == self.lease.incarnation && read.token == self.lease.token {
            self.version = row.version;
        }
        let is_written = read == self.lease;
        if is_written {
            self.renewed = begun;
        }
        is_written
    }
}
