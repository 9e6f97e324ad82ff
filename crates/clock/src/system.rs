//! The machine's monotonic clock, measured from when it is opened.

use tokio::time::Instant;

use crate::Clock;
use crate::Span;
use crate::Time;
use crate::wall::wall_ms;

/// The machine's clocks; time zero is one second before `open` was called.
#[derive(Clone, Copy, Debug)]
pub struct System {
    start: Instant,
}

impl System {
    /// Opens the clock.
    pub fn open() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for System {
    fn now(&self) -> Time {
        // The offset keeps `now() - span` from saturating at zero right after the start.
        Time::ZERO + Span::from_secs(1) + Span::from(self.start.elapsed())
    }

    fn wall_ms(&self) -> u64 {
        wall_ms()
    }
}
