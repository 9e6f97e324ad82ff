//! The rows of all members as this instance has read them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::rate::EPOCH_KEY;
use crate::rate::Policy;
use crate::rate::Row;

/// A row and since when it has not changed.
#[derive(Clone, Debug)]
pub(super) struct Seen {
    pub version: u64,
    pub row: Row,
    /// When the first read that showed this version had ended.
    pub since: Time,
}

/// A member whose lease had not lapsed at the last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Where it listens.
    pub address: SocketAddr,
    /// The slices that it holds, as a mask.
    pub slices: u64,
}

/// The rows of all members as this instance has read them.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    pub rows: BTreeMap<Arc<str>, Seen>,
    /// The version of the epoch row, if it exists.
    pub epoch: Option<u64>,
    /// When the last read had ended.
    read_at: Option<Time>,
    /// The live members by name, as of the last read: while the table does not answer nobody can
    /// renew, so nobody lapses either.
    pub live: BTreeMap<Arc<str>, Holder>,
}

impl View {
    /// Returns whether the rows were read a short time ago.
    pub fn is_recent(&self, now: Time, policy: &Policy) -> bool {
        self.read_at.is_some_and(|read_at| {
            now.since(read_at) <= policy.for_fleet(policy.max_read_gap, self.rows.len())
        })
    }

    /// Returns when the last read had ended.
    pub fn read_at(&self) -> Option<Time> {
        self.read_at
    }

    /// Takes in a read of all rows that ended at `now`.
    ///
    /// Returns false, and changes nothing, if a row does not parse.
    pub fn on_read(&mut self, now: Time, policy: &Policy, rows: &[store::Row]) -> bool {
        let mut next = BTreeMap::new();
        let mut epoch = None;
        let gap = !self.is_recent(now, policy);
        for row in rows {
            if &*row.key == EPOCH_KEY {
                epoch = Some(row.version);
                continue;
            }
            let Ok(parsed) = serde_json::from_str::<Row>(&row.value) else {
                return false;
            };
            let before = self.rows.get(&row.key);
            let since = before
                .filter(|seen| seen.version == row.version && !gap)
                .map_or(now, |seen| seen.since);
            let seen = Seen {
                version: row.version,
                row: parsed,
                since,
            };
            next.insert(Arc::clone(&row.key), seen);
        }
        self.live = live(now, policy, &next);
        self.rows = next;
        self.epoch = epoch;
        self.read_at = Some(now);
        true
    }
}

/// Returns the members whose leases have not lapsed, each by the newest of its rows.
fn live(now: Time, policy: &Policy, rows: &BTreeMap<Arc<str>, Seen>) -> BTreeMap<Arc<str>, Holder> {
    let mut newest: BTreeMap<&Arc<str>, &Seen> = BTreeMap::new();
    for seen in rows.values().filter(|seen| !seen.lapsed(now, policy)) {
        let known = newest.entry(&seen.row.member.name).or_insert(seen);
        if known.since < seen.since {
            *known = seen;
        }
    }
    let live = |seen: &Seen| Holder {
        address: seen.row.address,
        slices: seen.row.slices(),
    };
    newest
        .into_iter()
        .map(|(name, seen)| (Arc::clone(name), live(seen)))
        .collect()
}

impl Seen {
    /// Returns whether the short lease has lapsed.
    pub fn lapsed(&self, now: Time, policy: &Policy) -> bool {
        let lease = Span::from_millis(self.row.lease_ms);
        self.row.lapsed || now >= self.since + lease + policy.lease_margin
    }

    /// Returns whether the long lease has lapsed.
    pub fn ended(&self, now: Time, policy: &Policy) -> bool {
        now >= self.since + policy.hold + policy.hold_margin
    }
}
