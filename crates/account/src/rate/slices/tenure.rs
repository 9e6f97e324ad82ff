//! The own row: what is known of it, and until when its slices may be used.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;

use crate::rate::Member;
use crate::rate::Policy;
use crate::rate::Row;
use crate::rate::Schedule;

/// The own row as the table is known to have held it.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub version: u64,
    pub row: Row,
}

/// The own row: what is known of it, and until when its slices may be used.
#[derive(Clone, Debug)]
pub(super) struct Tenure {
    me: Member,
    pub known: Option<Known>,
    /// Writes whose outcome is not known; each may still take effect on top of `known`.
    ///
    /// Only slices that every one of these rows grants are used.
    doubt: Vec<Row>,
    /// The end of the short lease by the table.
    table_until: Time,
    /// The end of the long lease.
    hold_until: Time,
    /// Electors' promises and their ends.
    promises: BTreeMap<Member, Time>,
    /// Slices that are not used before `fresh_from`.
    fresh: u64,
    fresh_from: Time,
    /// The serial of the last write tried.
    serial: u64,
}

impl Tenure {
    /// Opens the state of a member without a row.
    pub fn open(me: Member) -> Self {
        Self {
            me,
            known: None,
            doubt: Vec::new(),
            table_until: Time::ZERO,
            hold_until: Time::ZERO,
            promises: BTreeMap::new(),
            fresh: 0,
            fresh_from: Time::ZERO,
            serial: 0,
        }
    }

    /// Returns the slices as of the last known row.
    pub fn slices(&self) -> u64 {
        self.known.as_ref().map_or(0, |known| known.row.slices())
    }

    /// Returns the serial of the next write.
    pub fn next_serial(&self) -> u64 {
        let known = self.known.as_ref().map_or(0, |known| known.row.serial);
        self.serial.max(known) + 1
    }

    /// Records that a write is about to be sent.
    pub fn on_try(&mut self, row: Row) {
        self.serial = row.serial;
        self.doubt.push(row);
    }

    /// Records that the last write tried was certainly not done.
    pub fn on_refused(&mut self) {
        self.doubt.pop();
    }

    /// Records that the last write tried, begun at `started`, took effect.
    pub fn on_committed(&mut self, now: Time, policy: &Policy, started: Time, version: u64) {
        let row = self.doubt.pop().expect("a committed write was tried");
        let lease = Span::from_millis(row.lease_ms);
        self.adopt(now, policy, Some(Known { version, row }));
        self.table_until = self.table_until.max(started + lease);
        self.hold_until = self.hold_until.max(started + policy.hold);
    }

    /// Takes in what a read of the table showed of the own row.
    pub fn on_read(&mut self, now: Time, policy: &Policy, found: Option<Known>) {
        let before = self.known.as_ref().map(|known| known.version);
        if before == found.as_ref().map(|known| known.version) {
            return;
        }
        self.adopt(now, policy, found);
    }

    /// Records an elector's promise that was asked for at `started`.
    pub fn on_promise(&mut self, policy: &Policy, started: Time, elector: Member) {
        self.promises.insert(elector, started + policy.promise);
    }

    /// Stops using all slices for good.
    pub fn stop(&mut self) {
        self.known = None;
        self.doubt.clear();
    }

    /// Returns how many slices may be used, and until when.
    pub fn schedule(&mut self, now: Time, policy: &Policy) -> Schedule {
        if now >= self.fresh_from {
            self.fresh = 0;
        }
        let Some(known) = &self.known else {
            return Schedule::default();
        };
        let rows = || self.doubt.iter().chain([&known.row]);
        let full = rows().fold(!self.fresh, |mask, row| mask & row.slices());
        let pinned = rows().fold(full, |mask, row| mask & row.pinned);
        let promised = rows()
            .map(|row| self.promised(&row.electors))
            .min()
            .unwrap_or(Time::ZERO);
        let mut full_until = self.table_until.max(promised).min(self.hold_until);
        if policy.ignore_lapse {
            full_until = Time::NEVER;
        }
        Schedule {
            full,
            pinned,
            full_until,
            pinned_until: self.hold_until.max(full_until),
        }
    }

    /// Returns until when a majority of the electors has promised.
    fn promised(&self, electors: &[Member]) -> Time {
        let mut ends: Vec<Time> = electors.iter().map(|e| self.promise(e)).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(electors.len() / 2).copied().unwrap_or(Time::ZERO)
    }

    fn promise(&self, elector: &Member) -> Time {
        if *elector == self.me {
            return Time::NEVER;
        }
        self.promises.get(elector).copied().unwrap_or(Time::ZERO)
    }

    fn adopt(&mut self, now: Time, policy: &Policy, known: Option<Known>) {
        let before = self.slices();
        // Writes in doubt were tried on top of an older version and cannot take effect any more;
        // only a first write has no version to be tied to.
        if self.known.is_some() || known.is_some() {
            self.doubt.clear();
        }
        self.known = known;
        self.promises.retain(|_, until| now < *until);
        let gained = self.slices() & !before;
        if gained != 0 {
            self.fresh |= gained;
            self.fresh_from = now + policy.activation_delay;
        }
    }
}
