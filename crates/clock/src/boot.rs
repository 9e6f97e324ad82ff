//! A clock that also counts the time for which the machine was suspended.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use crate::Clock;
use crate::Time;
use crate::wall::wall_ms;

/// Microseconds in a second.
const MICROS: u64 = 1_000_000;
/// Nanoseconds in a microsecond.
const NANOS: u64 = 1_000;

/// The time since the machine's start, suspension included.
///
/// Leases and bounds on staleness lapse by this clock while a machine sleeps.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boot;

impl Clock for Boot {
    fn now(&self) -> Time {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        // A second ahead of the clock keeps `now() - span` meaningful just after the start.
        Time::from_micros((seconds + 1) * MICROS + nanos / NANOS)
    }

    fn wall_ms(&self) -> u64 {
        wall_ms()
    }
}
