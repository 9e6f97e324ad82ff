//! Schedules a check for failovers that were left unfinished.

use clock::Span;
use clock::Time;

/// A successful replacement ends within this time.
const RECHECK_DELAY: Span = Span::from_millis(3_500);

/// Schedules a check whether the holder of a group's lease died during a failover.
///
/// It may have left replicas paused, which goes unnoticed until commits get stuck.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recheck {
    due: Option<Time>,
    /// Whether this instance ended a replacement without a result, so that it may have paused
    /// replicas after another instance had taken over and ended its own.
    may_have_paused: bool,
}

impl Recheck {
    /// Schedules a check because a replacement began or may still be in progress.
    pub fn on_replacement(&mut self, now: Time) {
        // Views that other instances ask for again and again must not put the check off for ever.
        self.due = self.due.or(Some(now + RECHECK_DELAY));
    }

    /// Schedules a check because a replacement by this instance ended without a result.
    pub fn on_failed(&mut self, now: Time) {
        self.may_have_paused = true;
        self.on_replacement(now);
    }

    /// Records that all replicas receive from the leader.
    pub fn on_resumed(&mut self) {
        self.may_have_paused = false;
    }

    /// Returns whether this instance may have left replicas paused.
    pub fn may_have_paused(&self) -> bool {
        self.may_have_paused
    }

    /// Returns whether to check now; true once per scheduled check.
    pub fn step(&mut self, now: Time) -> bool {
        let is_due = self.due.is_some_and(|due| due <= now);
        if is_due {
            self.due = None;
        }
        is_due
    }
}
