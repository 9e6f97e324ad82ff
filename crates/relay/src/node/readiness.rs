//! Whether the instance asks for new callers.

use clock::Span;
use clock::Time;

/// Without the store for this long an instance soon can't serve callers with keys, and others may.
/// Its last confirmation may be as old as one long poll when the store goes.
const OUTAGE: Span = Span::from_millis(3_500);

/// Whether the instance asks for new callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Readiness {
    /// When the store last confirmed the settings, by the start of the call.
    confirmed: Option<Time>,
    /// When the instance began to turn callers away.
    turned_away: Option<Time>,
}

impl Readiness {
    /// Notes that the store confirmed the settings in answer to a call begun at `begun`.
    pub fn on_confirmed(&mut self, begun: Time) {
        self.confirmed = self.confirmed.max(Some(begun));
    }

    /// Looks at the time; returns whether the answer has changed.
    pub fn step(&mut self, now: Time) -> bool {
        let is_out = self.confirmed.is_none_or(|at| now >= at + OUTAGE);
        let changed = is_out != self.turned_away.is_some();
        if changed {
            self.turned_away = is_out.then_some(now);
        }
        changed
    }

    /// Returns whether callers that rest should go to another instance.
    pub fn is_lost(&self) -> bool {
        self.confirmed.is_some() && self.turned_away.is_some()
    }

    /// Returns whether the instance can serve.
    pub fn is_ready(&self) -> bool {
        self.confirmed.is_some() && self.turned_away.is_none()
    }
}
