//! The rows of all members as of the last read.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::rate::EPOCH_KEY;
use crate::rate::Policy;
use crate::rate::Row;
use crate::rate::Version;
use crate::rate::hash::short_hash;
use crate::rate::slices::inquiry::Passed;

/// A row as last read, and since when its version has not changed.
#[derive(Clone, Debug)]
pub(super) struct Observation {
    pub version: u64,
    pub row: Row,
    /// End time of the first read that returned this version.
    pub unchanged_since: Time,
}

/// A member whose short lease had not lapsed at the last read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// The slices that it holds, as a mask.
    pub slices: u64,
    /// The zone in which it runs statements for other instances, if it does.
    pub zone: Option<Arc<str>>,
}

/// The rows of all members as of the last read.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    pub rows: BTreeMap<Arc<str>, Observation>,
    /// Version of the epoch row, if it exists.
    pub epoch: Option<u64>,
    /// End time of the last read; of a read by another instance, a time not later than its start.
    read_at: Option<Time>,
    /// Start time of the last read, if this instance made it.
    own_read_at: Option<Time>,
    /// The members whose leases had not lapsed at the last read, by name. They are kept while the
    /// table does not answer, since nobody can renew a lease then.
    pub holders: BTreeMap<Arc<str>, Holder>,
}

impl View {
    /// Returns whether the last read is at most `Policy::max_read_gap` old.
    pub fn is_recent(&self, now: Time, policy: &Policy) -> bool {
        self.read_at.is_some_and(|read_at| {
            now.since(read_at) <= policy.scale_to_fleet(policy.max_read_gap, self.rows.len())
        })
    }

    /// Returns the start time of the last read, if this instance made it.
    pub fn own_read_at(&self) -> Option<Time> {
        self.own_read_at
    }

    /// Returns the versions of all rows.
    pub fn versions(&self) -> Vec<Version> {
        let versions = self.rows.iter().map(|(key, observed)| Version {
            key: short_hash(key),
            content: observed.row.content(),
            version: observed.version,
            serial: observed.row.serial,
        });
        versions.collect()
    }

    /// Applies a read by another instance, of which the versions arrived at `now`; those of the own
    /// row are left out.
    ///
    /// Returns false, and changes nothing, if rows were added, removed or changed in more than their
    /// version and serial: then they must be read.
    pub fn on_passed(&mut self, now: Time, policy: &Policy, passed: &Passed) -> bool {
        let is_stale = !self.is_recent(now, policy);
        let versions: BTreeMap<u32, &Version> = passed
            .versions
            .iter()
            .map(|version| (version.key, version))
            .collect();
        if versions.len() != self.rows.len() {
            return false;
        }
        let mut next = BTreeMap::new();
        for (key, observed) in &self.rows {
            let Some(version) = versions.get(&short_hash(key)) else {
                return false;
            };
            if version.content != observed.row.content() || version.version < observed.version {
                return false;
            }
            let is_same = version.version == observed.version || policy.ignore_passed_renewals;
            let mut row = observed.row.clone();
            row.serial = version.serial;
            let observed = Observation {
                version: version.version,
                row,
                // The read that showed this version ended before its answer arrived.
                unchanged_since: match is_same && !is_stale {
                    true => observed.unchanged_since,
                    false => now,
                },
            };
            next.insert(Arc::clone(key), observed);
        }
        self.holders = holders(now, policy, &next);
        self.rows = next;
        self.epoch = passed.epoch;
        self.read_at = Some(passed.read_at);
        self.own_read_at = None;
        true
    }

    /// Returns the end time of the last read.
    pub fn read_at(&self) -> Option<Time> {
        self.read_at
    }

    /// Applies a read of all rows that began at `started` and ended at `now`.
    ///
    /// Returns false, and changes nothing, if a row does not parse.
    pub fn on_read(
        &mut self,
        now: Time,
        policy: &Policy,
        started: Time,
        rows: &[store::Row],
    ) -> bool {
        let mut next = BTreeMap::new();
        let mut epoch = None;
        let is_stale = !self.is_recent(now, policy);
        for row in rows {
            if &*row.key == EPOCH_KEY {
                epoch = Some(row.version);
                continue;
            }
            let Ok(parsed) = serde_json::from_str::<Row>(&row.value) else {
                return false;
            };
            let before = self.rows.get(&row.key);
            let unchanged_since = before
                .filter(|observed| observed.version == row.version && !is_stale)
                .map_or(now, |observed| observed.unchanged_since);
            let observed = Observation {
                version: row.version,
                row: parsed,
                unchanged_since,
            };
            next.insert(Arc::clone(&row.key), observed);
        }
        self.holders = holders(now, policy, &next);
        self.rows = next;
        self.epoch = epoch;
        self.read_at = Some(now);
        self.own_read_at = Some(started);
        true
    }
}

/// Returns the members whose short leases have not lapsed, each by its newest row.
fn holders(
    now: Time,
    policy: &Policy,
    rows: &BTreeMap<Arc<str>, Observation>,
) -> BTreeMap<Arc<str>, Holder> {
    let mut newest: BTreeMap<&Arc<str>, &Observation> = BTreeMap::new();
    for observed in rows
        .values()
        .filter(|observed| !observed.has_lapsed(now, policy))
    {
        let candidate = newest.entry(&observed.row.member.name).or_insert(observed);
        if candidate.unchanged_since < observed.unchanged_since {
            *candidate = observed;
        }
    }
    let holder = |observed: &Observation| Holder {
        address: observed.row.address,
        slices: observed.row.slices(),
        zone: observed.row.zone.clone(),
    };
    newest
        .into_iter()
        .map(|(name, observed)| (Arc::clone(name), holder(observed)))
        .collect()
}

impl Observation {
    /// Returns whether the short lease has lapsed.
    pub fn has_lapsed(&self, now: Time, policy: &Policy) -> bool {
        let lease = Span::from_millis(self.row.lease_ms);
        self.row.lapsed || now >= self.unchanged_since + lease + policy.lease_margin
    }

    /// Returns whether the long lease has lapsed.
    pub fn has_long_lease_lapsed(&self, now: Time, policy: &Policy) -> bool {
        now >= self.unchanged_since + policy.long_lease + policy.long_lease_margin
    }
}
