//! Hybrid logical clock timestamps, which order events causally across processes.

use serde::Deserialize;
use serde::Serialize;

/// A hybrid timestamp: wall-clock milliseconds, then a counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp {
    /// Milliseconds since the Unix epoch; ahead of the local clock if a peer's timestamp was.
    pub wall_ms: u64,
    /// Orders timestamps within one millisecond.
    pub count: u32,
}

/// The hybrid logical clock of one process.
#[derive(Debug, Default)]
pub struct Hybrid {
    /// Never decreases.
    last: Timestamp,
}

impl Hybrid {
    /// Advances the clock and returns the timestamp of a local event or an outgoing message.
    pub fn tick(&mut self, wall_ms: u64) -> Timestamp {
        self.last = if wall_ms > self.last.wall_ms {
            Timestamp { wall_ms, count: 0 }
        } else {
            Timestamp {
                wall_ms: self.last.wall_ms,
                count: self.last.count.saturating_add(1),
            }
        };
        self.last
    }

    /// Advances the clock to the timestamp of a received message if that is later.
    pub fn observe(&mut self, received: Timestamp) {
        self.last = self.last.max(received);
    }
}
