//! The failover lease: the table row that says which instance replaces a group's primary.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use clock::Span;
use clock::Time;
use endpoint::Position;
use serde::Deserialize;
use serde::Serialize;
use store::Condition;
use store::Row;
use store::Write;
use store::version;

use crate::failover::Evidence;
use crate::failover::Tenures;
use crate::failover::Tracker;
use crate::failover::Unanswered;
use crate::failover::row;
use crate::group::Appointment;
use crate::node::lock;

/// A working holder whose row stays unchanged for this long is presumed dead: a replacement takes
/// about a second, and a longer one renews the row.
const ABANDONED_AFTER: Span = Span::from_millis(3_500);
/// The previous holder has priority for this long, so that the lease seldom moves.
const PREVIOUS_HOLDER_HEAD_START: Span = Span::from_millis(600);

/// The state of the holder's failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// A replacement is in progress.
    Working,
    /// The leader is known and stays, but replicas may still be paused.
    Appointed,
    /// The last replacement has ended.
    Done,
}

/// The content of the lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The instance that holds the lease.
    pub holder: Arc<str>,
    /// The number that identifies this run of the instance's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The address on which the holder listens for other instances; `None` if its version does not
    /// record it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// The fencing token; it grows each time the lease is acquired and is never reused. Its
    /// upper bits hold the table's era in which the lease was acquired, or a later one.
    pub token: u64,
    /// The state of the holder's failover.
    pub phase: Phase,
    /// The servers that may hold acknowledged commits, as known to the holder, for its successor.
    #[serde(rename = "holders", default)]
    pub commit_holders: BTreeSet<Arc<str>>,
    /// What the holder knew of acknowledged commits, for its successor; `None` if its version does not
    /// record it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evidence: Option<Box<Evidence>>,
    /// The address of the leader named by the last replacement that ended, if any did. It
    /// identifies the leader's log; a server that restarts there may have another id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<SocketAddr>,
    /// The token of the latest replacement that requested a promotion, or may have; `None` if the
    /// writer's version does not record it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reign: Option<u64>,
    /// A position that the log of the server promoted by that replacement had reached before;
    /// `None` if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<Position>,
    /// The server whose promotion this or an earlier unfinished replacement requested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requested: Option<Arc<str>>,
    /// The newest order that got no answer, as long as it may be carried out. Only set where fences are
    /// not checked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unanswered: Option<Box<Unanswered>>,
}

impl Lease {
    /// Key prefix of the rows.
    pub const PREFIX: &str = "group/duty/";

    /// Returns the appointment that the row states.
    pub fn appointment(&self) -> Appointment {
        Appointment {
            token: self.token,
            leader: self.leader,
            is_settled: self.phase != Phase::Working,
            reign: self.reign.unwrap_or(self.token),
            end: self.end,
        }
    }

    /// Returns the newest order that may be carried out later: one that got no answer, or one that the
    /// holder of an unfinished replacement may have given.
    pub fn pending_order(&self) -> Option<Box<Unanswered>> {
        let requested = self.requested.as_ref();
        let Some(server) = requested.filter(|_| self.phase == Phase::Working) else {
            return self.unanswered.clone();
        };
        let recorded = self.unanswered.as_ref();
        let recorded = recorded.filter(|order| order.token == self.token);
        Some(Box::new(Unanswered {
            server: Arc::clone(server),
            token: self.token,
            count: recorded.map_or(0, |order| order.count) + 1,
        }))
    }

    /// Returns the lease as settled if its holder has `announced` that and could not write it.
    pub fn settled(self, announced: Option<Appointment>) -> Self {
        let announced = announced.filter(|announced| announced.token == self.token);
        let Some(announced) = announced.filter(|_| self.phase == Phase::Working) else {
            return self;
        };
        Self {
            phase: Phase::Appointed,
            leader: announced.leader,
            reign: Some(announced.reign),
            end: announced.end,
            requested: None,
            unanswered: self.pending_order(),
            ..self
        }
    }

    /// Returns whether the token was chosen in the era of `version`, at which the lease was acquired.
    /// If the table returned from an older copy in between, another instance may have the same token.
    pub fn is_of_era(&self, version: u64) -> bool {
        self.token > version::join(version::era(version), 0)
    }

    /// Returns the next fencing token after `known`, the highest one that is known.
    ///
    /// The row and the instances that knew a token may be gone once the table has returned from an
    /// older copy, so the era is part of the token: those of a later era are higher than all earlier
    /// ones. An unreadable row's version takes the place of the token that it held; versions exceed
    /// the tokens of their era.
    pub fn next_token(era: u64, row: Option<&Row>, known: u64) -> u64 {
        let unreadable = row.filter(|row| Self::parse(row).is_none());
        let lost = unreadable.map_or(0, |row| row.version);
        known.max(lost).max(version::join(era, 0)) + 1
    }

    /// Parses a row; `None` if it is unreadable.
    pub fn parse(row: &Row) -> Option<Self> {
        serde_json::from_str(&row.value).ok()
    }

    /// Returns the key of a group's row.
    pub fn key(group: &str) -> Arc<str> {
        Arc::from(format!("{}{group}", Self::PREFIX))
    }

    /// Returns the condition and write that replace `before` with this lease.
    pub fn compare_and_set(&self, group: &str, before: Option<&Row>) -> (Condition, Write) {
        row::compare_and_set(Self::key(group), before, self)
    }
}

/// A run of an instance's process, which may hold failover leases.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    /// The instance's name.
    pub name: &'a str,
    /// The address on which the process listens for other instances.
    pub address: SocketAddr,
    /// The number that identifies this run.
    pub incarnation: u64,
}

impl Run<'_> {
    /// Returns whether an earlier run of the same instance holds the lease. It has ended, since only
    /// one process at a time can listen on the address.
    pub fn follows(&self, lease: &Lease) -> bool {
        *lease.holder == *self.name
            && lease.address == Some(self.address)
            && lease.incarnation != self.incarnation
    }
}

/// Tracks when this instance first saw the current version of each group's lease row.
#[derive(Debug, Default)]
pub struct Leases {
    seen: Mutex<BTreeMap<Arc<str>, (u64, Time)>>,
    /// The newest lease of each group that this instance has read or written.
    newest: Mutex<BTreeMap<Arc<str>, Lease>>,
    /// Ends replacements of this instance once newer ones are known.
    pub tenures: Tenures,
    /// The orders that got no answer.
    pub unanswered: Tracker,
}

impl Leases {
    /// Records a lease that this instance has read or written, unless a newer one is known.
    pub fn on_lease(&self, group: &Arc<str>, lease: &Lease) {
        self.tenures.on_token(group, lease.token);
        let mut newest = lock(&self.newest);
        let known = newest.get(group).map_or(0, |known| known.token);
        if lease.token >= known {
            newest.insert(Arc::clone(group), lease.clone());
        }
    }

    /// Returns the newest lease of a group that this instance knows.
    pub fn newest(&self, group: &str) -> Option<Lease> {
        lock(&self.newest).get(group).cloned()
    }

    /// Returns the highest fencing token of a group that this instance knows.
    pub fn newest_token(&self, group: &str) -> u64 {
        lock(&self.newest).get(group).map_or(0, |lease| lease.token)
    }

    /// Records a group's row that was read at `now`; returns when this version was first seen.
    pub fn on_row(&self, now: Time, group: &Arc<str>, row: &Row) -> Time {
        let mut seen = lock(&self.seen);
        let entry = seen.entry(Arc::clone(group)).or_insert((row.version, now));
        if entry.0 != row.version {
            *entry = (row.version, now);
        }
        entry.1
    }

    /// Returns whether an earlier run of this instance ended while it replaced the group's leader.
    pub fn is_abandoned_by(&self, group: &str, run: &Run<'_>) -> bool {
        self.newest(group)
            .is_some_and(|lease| lease.phase == Phase::Working && run.follows(&lease))
    }

    /// Returns whether `run` may acquire the lease in `row`, read at `now`.
    pub fn may_acquire(
        &self,
        now: Time,
        group: &Arc<str>,
        row: Option<&Row>,
        run: &Run<'_>,
    ) -> bool {
        let Some(row) = row else {
            return true;
        };
        let first_seen = self.on_row(now, group, row);
        match Lease::parse(row) {
            Some(lease) if lease.incarnation == run.incarnation || run.follows(&lease) => true,
            Some(lease) if lease.phase != Phase::Done => now >= first_seen + ABANDONED_AFTER,
            Some(_) => now >= first_seen + PREVIOUS_HOLDER_HEAD_START,
            None => true,
        }
    }
}
