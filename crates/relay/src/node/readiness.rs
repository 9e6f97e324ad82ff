//! Readiness of the instance for new callers.

use clock::Span;
use clock::Time;

/// After a store outage of this length the instance soon can't serve callers with keys, while
/// others may. The last confirmation may be one long poll old when the outage begins.
const STORE_OUTAGE: Span = Span::from_millis(3_500);
/// The same while settings arrive: they confirm the keys as soon as they are complete, and other
/// instances receive them at the same time.
const STORE_OUTAGE_RECEIVING: Span = Span::from_millis(4_500);

/// Readiness of the instance for new callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Readiness {
    /// The start of the call in which the store last confirmed the settings.
    confirmed: Option<Time>,
    /// When the instance became unready.
    unready_since: Option<Time>,
}

impl Readiness {
    /// Records that the store confirmed the settings in a call that began at `begun`.
    pub fn on_confirmed(&mut self, begun: Time) {
        self.confirmed = self.confirmed.max(Some(begun));
    }

    /// Returns the start of the call in which the store last confirmed the settings.
    pub fn confirmed(&self) -> Option<Time> {
        self.confirmed
    }

    /// Updates the state for the time `now`; returns whether the readiness changed.
    ///
    /// `is_receiving` tells whether a part of a reply with the settings has arrived.
    pub fn step(&mut self, now: Time, is_receiving: bool) -> bool {
        let limit = if is_receiving {
            STORE_OUTAGE_RECEIVING
        } else {
            STORE_OUTAGE
        };
        let is_out = self.confirmed.is_none_or(|at| now >= at + limit);
        let changed = is_out != self.unready_since.is_some();
        if changed {
            self.unready_since = is_out.then_some(now);
        }
        changed
    }

    /// Returns whether the instance was ready once and is not now, so idle callers should move.
    pub fn is_lost(&self) -> bool {
        self.confirmed.is_some() && self.unready_since.is_some()
    }

    /// Returns whether the instance can serve callers.
    pub fn is_ready(&self) -> bool {
        self.confirmed.is_some() && self.unready_since.is_none()
    }
}
