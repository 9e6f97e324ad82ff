//! The warm-up of one server as seen by one instance.

use clock::Span;
use clock::Time;

use crate::warmup::Pace;
use crate::warmup::Turn;

/// The warm-up of one server as seen by one instance.
///
/// Load pattern: all instances send their usual load to a server that has just started or whose zone
/// was evacuated, while its caches are empty. The instances use the slots of the server's pace in
/// turn, without asking each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Warmup {
    /// Until then the server is cold after its start.
    cold_until: Time,
    /// The first slot that this instance has not used.
    next: u64,
}

impl Warmup {
    /// Records that the server is cold for `left` from now.
    pub fn on_cold(&mut self, now: Time, left: Span) {
        if left > Span::ZERO {
            self.cold_until = self.cold_until.max(now + left);
        }
    }

    /// Returns whether the server is cold; `ended` is when the evacuation of its zone ended, and
    /// `duration` how long it is cold after that.
    pub fn is_cold(&self, now: Time, ended: Option<Time>, duration: Span) -> bool {
        now < self.cold_until || ended.is_some_and(|ended| now < ended + duration)
    }

    /// Returns whether this instance may send a request to the cold server.
    pub fn may_send(&self, wall_ms: u64, pace: Pace, turn: Turn) -> bool {
        self.usable_slot(wall_ms, pace, turn).is_some()
    }

    /// Uses a slot for a request to the cold server; returns whether there was one.
    pub fn on_send(&mut self, wall_ms: u64, pace: Pace, turn: Turn) -> bool {
        let Some(slot) = self.usable_slot(wall_ms, pace, turn) else {
            return false;
        };
        self.next = slot + 1;
        true
    }

    /// Returns the first slot of this instance's turn that is usable and not used.
    fn usable_slot(&self, wall_ms: u64, pace: Pace, turn: Turn) -> Option<u64> {
        if turn.instances == 0 {
            return None;
        }
        assert!(turn.place < turn.instances);
        let first = self.next.max(pace.first_usable(wall_ms));
        let missing = (turn.place + turn.instances - first % turn.instances) % turn.instances;
        let slot = first + missing;
        (slot <= pace.slot(wall_ms)).then_some(slot)
    }
}
