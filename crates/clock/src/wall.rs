//! The wall clock of the machine.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns milliseconds since the Unix epoch, or 0 if the clock is set before it.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
