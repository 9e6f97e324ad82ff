//! The lease of the own row: its confirmed content, writes in doubt, and expiry.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;

use crate::rate::Member;
use crate::rate::Policy;
use crate::rate::Row;
use crate::rate::Schedule;

/// The own row as last confirmed by the table.
#[derive(Clone, Debug)]
pub(super) struct Confirmed {
    pub version: u64,
    pub row: Row,
}

/// The lease of the own row: its confirmed content, writes in doubt, and expiry.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    local: Member,
    pub confirmed: Option<Confirmed>,
    /// Writes of unknown outcome, each of which may still be committed on top of `confirmed`.
    ///
    /// Only slices that all of these rows contain are used.
    in_doubt: Vec<Row>,
    /// End of the short lease by the last committed write.
    short_until: Time,
    /// End of the long lease.
    long_until: Time,
    /// Expiry of the electors' promises.
    promises: BTreeMap<Member, Time>,
    /// Newly acquired slices, which are not used before `active_from`.
    activating: u64,
    active_from: Time,
    /// The slices of an earlier life of the instance that the last write takes over.
    ///
    /// Invariant: nonzero only while that write is pending or in doubt, so that slices acquired later
    /// wait as usual.
    inherited: u64,
    /// When slices of an earlier life can be used. All of its loans have expired by then, since it had
    /// ended before this life began to listen.
    inherited_from: Time,
    /// Serial of the last attempted write.
    last_serial: u64,
}

impl Lease {
    /// Opens the state of a member without a row.
    pub fn open(local: Member) -> Self {
        Self {
            local,
            confirmed: None,
            in_doubt: Vec::new(),
            short_until: Time::ZERO,
            long_until: Time::ZERO,
            promises: BTreeMap::new(),
            activating: 0,
            active_from: Time::ZERO,
            inherited: 0,
            inherited_from: Time::NEVER,
            last_serial: 0,
        }
    }

    /// Returns the slices of the confirmed row, as a mask.
    pub fn slices(&self) -> u64 {
        self.confirmed
            .as_ref()
            .map_or(0, |confirmed| confirmed.row.slices())
    }

    /// Returns whether the outcome of a write is unknown.
    pub fn has_doubt(&self) -> bool {
        !self.in_doubt.is_empty()
    }

    /// Returns the serial of the next write.
    pub fn next_serial(&self) -> u64 {
        let confirmed_serial = self
            .confirmed
            .as_ref()
            .map_or(0, |confirmed| confirmed.row.serial);
        self.last_serial.max(confirmed_serial) + 1
    }

    /// Records that this life has listened on its address since `now` at the latest; only the first
    /// call has an effect.
    pub fn on_started(&mut self, now: Time, policy: &Policy) {
        self.inherited_from = self.inherited_from.min(now + policy.activation_delay);
    }

    /// Records a write that is about to be sent and takes over the slices in `inherited` from an
    /// earlier life of the instance.
    pub fn on_write_sent(&mut self, row: Row, inherited: u64) {
        self.last_serial = row.serial;
        self.inherited = inherited;
        self.in_doubt.push(row);
    }

    /// Records that the last attempted write was certainly not applied.
    pub fn on_refused(&mut self) {
        self.in_doubt.pop();
        self.inherited = 0;
    }

    /// Records that the last attempted write, started at `started`, was committed.
    pub fn on_committed(&mut self, now: Time, policy: &Policy, started: Time, version: u64) {
        let row = self
            .in_doubt
            .pop()
            .expect("a committed write was recorded as sent");
        let lease = Span::from_millis(row.lease_ms);
        self.confirm(now, policy, Some(Confirmed { version, row }));
        self.short_until = self.short_until.max(started + lease);
        self.long_until = self.long_until.max(started + policy.long_lease);
    }

    /// Applies the own row as read from the table.
    pub fn on_read(&mut self, now: Time, policy: &Policy, read: Option<Confirmed>) {
        let before = self.confirmed.as_ref().map(|confirmed| confirmed.version);
        if before == read.as_ref().map(|confirmed| confirmed.version) {
            return;
        }
        self.confirm(now, policy, read);
    }

    /// Records an elector's promise that was requested at `started`.
    pub fn on_promise(&mut self, policy: &Policy, started: Time, elector: Member) {
        self.promises.insert(elector, started + policy.promise);
    }

    /// Forgets the own row, which ends the use of all slices.
    pub fn clear(&mut self) {
        self.confirmed = None;
        self.in_doubt.clear();
    }

    /// Returns the slices that may be used, and until when.
    pub fn schedule(&mut self, now: Time, policy: &Policy) -> Schedule {
        if now >= self.active_from {
            self.activating = 0;
        }
        let Some(confirmed) = &self.confirmed else {
            return Schedule::default();
        };
        let rows = || self.in_doubt.iter().chain([&confirmed.row]);
        let full = rows().fold(!self.activating, |mask, row| mask & row.slices());
        let pinned = rows().fold(full, |mask, row| mask & row.pinned);
        let promised = rows()
            .map(|row| self.promised_until(&row.electors))
            .min()
            .unwrap_or(Time::ZERO);
        let mut full_until = self.short_until.max(promised).min(self.long_until);
        if policy.ignore_lapse {
            full_until = Time::NEVER;
        }
        Schedule {
            full,
            pinned,
            full_until,
            pinned_until: self.long_until.max(full_until),
        }
    }

    /// Returns the time until which promises of a majority of the electors last.
    fn promised_until(&self, electors: &[Member]) -> Time {
        let mut ends: Vec<Time> = electors
            .iter()
            .map(|e| self.elector_promised_until(e))
            .collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(electors.len() / 2).copied().unwrap_or(Time::ZERO)
    }

    fn elector_promised_until(&self, elector: &Member) -> Time {
        if *elector == self.local {
            return Time::NEVER;
        }
        self.promises.get(elector).copied().unwrap_or(Time::ZERO)
    }

    fn confirm(&mut self, now: Time, policy: &Policy, confirmed: Option<Confirmed>) {
        let before = self.slices();
        // Writes in doubt depend on an older version and can no longer be committed. Only a first
        // write depends on no version.
        if self.confirmed.is_some() || confirmed.is_some() {
            self.in_doubt.clear();
        }
        self.confirmed = confirmed;
        self.promises.retain(|_, until| now < *until);
        let gained = self.slices() & !before;
        if gained != 0 {
            self.activating |= gained;
            let delayed_until = now + policy.activation_delay;
            self.active_from = match gained & !self.inherited {
                0 => self.inherited_from.min(delayed_until),
                _ => delayed_until,
            };
        }
        self.inherited = 0;
    }
}
