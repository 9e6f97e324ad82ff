//! Hybrid logical clock stamps, by which cause sorts before effect over processes.

use serde::Deserialize;
use serde::Serialize;

/// A stamp: wall milliseconds, then a counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp {
    /// Milliseconds since the Unix epoch, or later if a peer's stamp was later.
    pub wall_ms: u64,
    /// Orders stamps within one millisecond.
    pub count: u32,
}

/// The hybrid logical clock of one process.
#[derive(Debug, Default)]
pub struct Hybrid {
    /// Never decreases.
    last: Timestamp,
}

impl Hybrid {
    /// Returns the stamp of a local event or of a message to be sent.
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

    /// Takes note of the stamp of a received message.
    pub fn observe(&mut self, seen: Timestamp) {
        self.last = self.last.max(seen);
    }
}
