//! When to look whether the holder of a group's lease died at work.

use clock::Span;
use clock::Time;

/// A replacement that goes well has ended by then.
const AFTER: Span = Span::from_millis(3_500);

/// When to look whether the holder of a group's lease died at work.
///
/// It may have left replicas paused, which shows by itself only once commits get stuck.
#[derive(Clone, Copy, Debug, Default)]
pub struct Checkup {
    due: Option<Time>,
}

impl Checkup {
    /// Notes that a replacement began or may still be under way.
    pub fn on_replacement(&mut self, now: Time) {
        self.due = Some(now + AFTER);
    }

    /// Returns whether to look now; once for each replacement.
    pub fn step(&mut self, now: Time) -> bool {
        let is_due = self.due.is_some_and(|due| due <= now);
        if is_due {
            self.due = None;
        }
        is_due
    }
}
