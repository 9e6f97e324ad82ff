//! Waits until no other instance relies on the leader that is replaced.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Span;
use clock::Time;

/// Allowance for clocks that run at slightly different rates.
const CLOCK_DRIFT_MARGIN: Span = Span::from_millis(50);

/// The leader leases of other instances that must end before a server is promoted.
#[derive(Clone, Debug)]
pub struct Revocation {
    /// The instances that may hold a lease and have not given it up.
    awaited: BTreeSet<Arc<str>>,
    /// Whether `awaited` lists every instance that may hold a lease.
    is_complete: bool,
    /// When the last lease that was granted before the replacement has expired.
    expiry: Time,
}

impl Revocation {
    /// Opens the revocation for a replacement that the table has shown since `recorded` at the
    /// latest.
    ///
    /// `lease` is the longest one in use. `instances` are the other instances registered in the table, read after that; `None` if the
    /// read failed.
    pub fn open(recorded: Time, lease: Span, instances: Option<BTreeSet<Arc<str>>>) -> Self {
        Self {
            is_complete: instances.is_some(),
            awaited: instances.unwrap_or_default(),
            expiry: recorded + lease + CLOCK_DRIFT_MARGIN,
        }
    }

    /// Records that an instance gave its lease up.
    pub fn on_given_up(&mut self, instance: &str) {
        self.awaited.remove(instance);
    }

    /// Returns the instances that have not given their lease up.
    pub fn awaited(&self) -> &BTreeSet<Arc<str>> {
        &self.awaited
    }

    /// Returns whether no other instance holds a lease at `now`.
    pub fn has_ended(&self, now: Time) -> bool {
        (self.is_complete && self.awaited.is_empty()) || now >= self.expiry
    }
}
