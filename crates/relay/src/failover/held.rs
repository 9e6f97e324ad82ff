//! A duty that this instance holds.

use std::sync::Arc;

use store::Outcome;
use store::Row;
use tokio::time::timeout;

use crate::failover::Duty;
use crate::failover::Phase;
use crate::failover::row;
use crate::failover::row::TABLE_TIMEOUT;
use crate::group::Group;
use crate::node::Node;

/// A duty that this instance holds.
pub struct Held {
    /// The content of the row.
    pub duty: Duty,
    /// The version of the row.
    version: u64,
    /// Whether the last holder ended without writing that it was done.
    is_inherited: bool,
}

/// What is known of a duty whose holder may have died at work.
pub enum Unfinished {
    /// The last holder has ended its work.
    Nothing,
    /// This instance goes on with the work.
    Taken(Held),
    /// The holder may live, or the table does not answer.
    Unknown,
}

impl Held {
    /// Returns whether an order of an earlier holder may still be carried out.
    pub fn may_have_ordered(&self) -> bool {
        self.is_inherited
    }

    /// Takes a group's duty; `None` if another instance has it or the table does not answer.
    pub async fn take(node: &Node, group: &Group) -> Option<Self> {
        let row = row::read(node, group, &Duty::key(&group.name)).await?;
        Self::take_over(node, group, row).await
    }

    /// Takes a group's duty if its holder died at work.
    pub async fn take_unfinished(node: &Node, group: &Group) -> Unfinished {
        let Some(row) = row::read(node, group, &Duty::key(&group.name)).await else {
            return Unfinished::Unknown;
        };
        let duty = row.as_ref().and_then(Duty::read);
        if duty.is_none_or(|duty| duty.phase == Phase::Done) {
            return Unfinished::Nothing;
        }
        let taken = Self::take_over(node, group, row).await;
        taken.map_or(Unfinished::Unknown, Unfinished::Taken)
    }

    async fn take_over(node: &Node, group: &Group, row: Option<Row>) -> Option<Self> {
        let key = Duty::key(&group.name);
        let now = node.now();
        if !node
            .duties
            .may_take(now, &group.name, row.as_ref(), node.incarnation)
        {
            return None;
        }
        let before = row.as_ref().and_then(Duty::read);
        if let Some(before) = before.as_ref().filter(|duty| duty.phase == Phase::Working) {
            // Servers that the last holder knew may have vanished before this instance started.
            group.remember(&before.holders);
        }
        let is_inherited = before
            .as_ref()
            .is_some_and(|duty| duty.phase == Phase::Working);
        // Tokens are far below the store's versions, so one of these follows any lost token.
        let unreadable = row.as_ref().map_or(0, |row| row.version);
        let duty = Duty {
            holder: Arc::clone(&node.options.name),
            life: node.incarnation,
            token: before.map_or(unreadable, |before| before.token) + 1,
            phase: Phase::Working,
            holders: group.holders(now),
        };
        let (condition, write) = duty.replace(&group.name, row.as_ref());
        let commit = node.dependencies.table.commit(vec![condition], vec![write]);
        match timeout(TABLE_TIMEOUT, commit).await {
            Ok(Ok(Outcome::Committed { version })) => Some(Self {
                duty,
                version,
                is_inherited,
            }),
            Ok(Ok(Outcome::Conflict { .. })) => None,
            failed => {
                log::info!(
                    "event=duty-in-doubt group={} why=\"{failed:?}\"",
                    group.name
                );
                let row = row::read(node, group, &key).await??;
                let is_ours = Duty::read(&row).is_some_and(|read| read == duty);
                is_ours.then_some(Self {
                    duty,
                    version: row.version,
                    is_inherited,
                })
            }
        }
    }

    /// Writes the duty again; returns whether this instance still holds it.
    pub async fn write(&mut self, node: &Node, group: &Group, phase: Phase) -> bool {
        self.duty.phase = phase;
        self.duty.holders = group.holders(node.now());
        let before = Row {
            key: Duty::key(&group.name),
            value: Arc::from(""),
            version: self.version,
        };
        let (condition, write) = self.duty.replace(&group.name, Some(&before));
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
