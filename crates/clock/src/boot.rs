//! A monotonic clock that includes the time for which the machine was suspended.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use crate::Clock;
use crate::Time;
use crate::wall::wall_ms;

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// The time since the machine booted, including suspension (`CLOCK_BOOTTIME`).
///
/// Leases and staleness bounds measured with it also expire while the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boot;

impl Clock for Boot {
    fn now(&self) -> Time {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        // An offset of one second keeps `now() - span` from saturating at zero right after boot.
        Time::from_micros((seconds + 1) * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO)
    }

    fn wall_ms(&self) -> u64 {
        wall_ms()
    }
}
