//! A manually advanced clock for tests.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::Clock;
use crate::Span;
use crate::Time;

/// A clock that only moves when it is advanced.
#[derive(Debug, Default)]
pub struct Manual {
    micros: AtomicU64,
}

impl Manual {
    /// Opens a clock that reads `start`.
    pub fn open(start: Time) -> Self {
        Self {
            micros: AtomicU64::new(start.as_micros()),
        }
    }

    /// Advances the clock by `span`.
    pub fn advance(&self, span: Span) {
        self.micros.fetch_add(span.as_micros(), Ordering::SeqCst);
    }
}

impl Clock for Manual {
    fn now(&self) -> Time {
        Time::from_micros(self.micros.load(Ordering::SeqCst))
    }

    fn wall_ms(&self) -> u64 {
        self.micros.load(Ordering::SeqCst) / 1_000
    }
}
