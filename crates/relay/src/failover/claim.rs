//! A failover lease held by this instance.

use std::sync::Arc;

use store::Outcome;
use store::Row;
use tokio::time::timeout;

use crate::failover::Lease;
use crate::failover::Phase;
use crate::failover::row;
use crate::failover::row::TABLE_TIMEOUT;
use crate::group::Group;
use crate::node::Node;

/// A failover lease held by this instance.
pub struct Claim {
    /// The lease as written to the row.
    pub lease: Lease,
    /// The version of the row that holds it.
    version: u64,
    /// Whether the previous holder never recorded `Phase::Done`.
    is_predecessor_unfinished: bool,
}

/// The outcome of trying to take over a lease whose holder may have died mid-failover.
pub enum Takeover {
    /// The last holder finished its failover.
    NotNeeded,
    /// This instance now holds the lease and finishes the failover.
    Acquired(Claim),
    /// The holder may still be alive, or the table does not answer.
    Unknown,
}

impl Claim {
    /// Returns whether a promotion requested by an earlier holder may still take effect.
    pub fn may_have_pending_promotion(&self) -> bool {
        self.is_predecessor_unfinished
    }

    /// Acquires a group's lease; `None` if another instance holds it or the table does not answer.
    pub async fn acquire(node: &Node, group: &Group) -> Option<Self> {
        let row = row::read(node, group, &Lease::key(&group.name)).await?;
        Self::acquire_from(node, group, row).await
    }

    /// Acquires a group's lease if its holder died during a failover.
    pub async fn acquire_abandoned(node: &Node, group: &Group) -> Takeover {
        let Some(row) = row::read(node, group, &Lease::key(&group.name)).await else {
            return Takeover::Unknown;
        };
        let lease = row.as_ref().and_then(Lease::parse);
        if lease.is_none_or(|lease| lease.phase == Phase::Done) {
            return Takeover::NotNeeded;
        }
        let taken = Self::acquire_from(node, group, row).await;
        taken.map_or(Takeover::Unknown, Takeover::Acquired)
    }

    async fn acquire_from(node: &Node, group: &Group, row: Option<Row>) -> Option<Self> {
        let key = Lease::key(&group.name);
        let now = node.now();
        if !node
            .leases
            .may_acquire(now, &group.name, row.as_ref(), node.incarnation)
        {
            return None;
        }
        let before = row.as_ref().and_then(Lease::parse);
        if let Some(before) = before
            .as_ref()
            .filter(|lease| lease.phase == Phase::Working)
        {
            // The previous holder may know servers that were removed before this instance started.
            group.restore_holders(&before.commit_holders);
        }
        let is_predecessor_unfinished = before
            .as_ref()
            .is_some_and(|lease| lease.phase == Phase::Working);
        // If the row is unreadable, its version seeds the token: row versions far exceed tokens, so
        // the new token is higher than any lost one.
        let row_version = row.as_ref().map_or(0, |row| row.version);
        let lease = Lease {
            holder: Arc::clone(&node.options.name),
            incarnation: node.incarnation,
            token: before.map_or(row_version, |before| before.token) + 1,
            phase: Phase::Working,
            commit_holders: group.commit_holders(now),
        };
        let (condition, write) = lease.compare_and_set(&group.name, row.as_ref());
        let commit = node.dependencies.table.commit(vec![condition], vec![write]);
        match timeout(TABLE_TIMEOUT, commit).await {
            Ok(Ok(Outcome::Committed { version })) => Some(Self {
                lease,
                version,
                is_predecessor_unfinished,
            }),
            Ok(Ok(Outcome::Conflict { .. })) => None,
            failed => {
                log::info!(
                    "event=duty-in-doubt group={} why=\"{failed:?}\"",
                    group.name
                );
                let row = row::read(node, group, &key).await??;
                let is_ours = Lease::parse(&row).is_some_and(|read| read == lease);
                is_ours.then_some(Self {
                    lease,
                    version: row.version,
                    is_predecessor_unfinished,
                })
            }
        }
    }

    /// Renews the lease with `phase`; returns whether this instance still holds it.
    pub async fn renew(&mut self, node: &Node, group: &Group, phase: Phase) -> bool {
        self.lease.phase = phase;
        self.lease.commit_holders = group.commit_holders(node.now());
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
                true
            }
            failed => {
                log::info!(
                    "event=duty-unwritten group={} why=\"{failed:?}\"",
                    group.name
                );
                false
            }
        }
    }
}
