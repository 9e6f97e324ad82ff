//! Readiness of the instance for new callers.

use clock::Span;
use clock::Time;

/// After a store outage of this length the instance soon can't serve callers with keys, while
/// others may. The last confirmation may be one long poll old when the outage begins.
const STORE_OUTAGE: Span = Span::from_millis(3_500);

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

    /// Updates the state for the time `now`; returns whether the readiness changed.
    pub fn step(&mut self, now: Time) -> bool {
        let is_out = self.confirmed.is_none_or(|at| now >= at + STORE_OUTAGE);
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
