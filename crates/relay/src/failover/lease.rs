//! The row that says which instance replaces a group's primary.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;

use clock::Span;
use clock::Time;
use serde::Deserialize;
use serde::Serialize;
use store::Condition;
use store::Row;
use store::Write;

use crate::failover::row;
use crate::node::lock;

/// The prefix of the rows.
const PREFIX: &str = "group/duty/";
/// A holder that has not changed its row for this long while at work is taken to be dead; a
/// replacement takes about a second, and a long one renews the row.
const ABANDONED: Span = Span::from_millis(3_500);
/// A holder of an earlier replacement goes first for this long, so that the lease seldom moves.
const PRECEDENCE: Span = Span::from_millis(600);

/// Whether a holder is at work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// A replacement is under way.
    Working,
    /// The last replacement has ended.
    Done,
}

/// The content of the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The instance.
    pub holder: Arc<str>,
    /// The life of the instance.
    pub life: u64,
    /// The fencing token; grows each time that the lease is taken, and is never used twice.
    pub token: u64,
    /// Whether the holder is at work.
    pub phase: Phase,
    /// The servers that the holder knows may hold acknowledged commits, for whoever takes over.
    #[serde(default)]
    pub holders: BTreeSet<Arc<str>>,
}

impl Lease {
    /// Reads a row.
    pub fn read(row: &Row) -> Option<Self> {
        serde_json::from_str(&row.value).ok()
    }

    /// Returns the key of a group's row.
    pub fn key(group: &str) -> Arc<str> {
        Arc::from(format!("{PREFIX}{group}"))
    }

    /// Returns the condition and the write that put this lease in place of `before`.
    pub fn replace(&self, group: &str, before: Option<&Row>) -> (Condition, Write) {
        row::replace(Self::key(group), before, self)
    }
}

/// When this instance first saw the current version of each group's row.
#[derive(Debug, Default)]
pub struct Leases {
    seen: Mutex<BTreeMap<Arc<str>, (u64, Time)>>,
}

impl Leases {
    /// Decides whether an instance may take the lease that `row` shows, as read at `now`.
    pub fn may_take(&self, now: Time, group: &Arc<str>, row: Option<&Row>, life: u64) -> bool {
        let Some(row) = row else {
            return true;
        };
        let first = {
            let mut seen = lock(&self.seen);
            let entry = seen.entry(Arc::clone(group)).or_insert((row.version, now));
            if entry.0 != row.version {
                *entry = (row.version, now);
            }
            entry.1
        };
        match Lease::read(row) {
            Some(lease) if lease.life == life => true,
            Some(lease) if lease.phase == Phase::Working => now >= first + ABANDONED,
            Some(_) => now >= first + PRECEDENCE,
            None => true,
        }
    }
}
