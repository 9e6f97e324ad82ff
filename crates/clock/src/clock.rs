//! The interface for reading the time.

use crate::Time;

/// Reads a monotonic clock and the wall clock of one machine.
pub trait Clock: Send + Sync {
    /// Returns the current time of the monotonic clock.
    fn now(&self) -> Time;

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    ///
    /// It is meant for timestamps and reports; no safety decision may depend on it.
    fn wall_ms(&self) -> u64;
}
