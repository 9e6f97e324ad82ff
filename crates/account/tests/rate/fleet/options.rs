//! Options of a simulation.

use account::rate::Limit;
use account::rate::Policy;
use clock::Span;
use clock::Time;

/// Microseconds per second that the fastest clock gains.
pub const MAX_CLOCK_GAIN: u64 = 200;

/// Options of a simulation.
#[derive(Clone, Debug)]
pub struct Options {
    pub seed: u64,
    pub instances: usize,
    pub policy: Policy,
    pub limit: Limit,
    /// Messages and table calls lost, per 1000.
    pub lost: u32,
    /// Messages repeated, per 1000.
    pub repeated: u32,
}

impl Options {
    /// Returns options with short leases, so that a run covers many lease periods.
    pub fn quick(seed: u64, instances: usize) -> Self {
        let policy = Policy {
            lease: Span::from_secs(1),
            long_lease: Span::from_secs(15),
            lease_margin: Span::from_millis(50),
            long_lease_margin: Span::from_millis(250),
            renew_interval: Span::from_millis(300),
            read_interval: Span::from_millis(50),
            first_read_interval: Span::from_millis(50),
            max_read_gap: Span::from_millis(300),
            promise: Span::from_secs(1),
            promise_interval: Span::from_millis(150),
            ..Policy::default()
        };
        Self {
            seed,
            instances,
            policy,
            limit: Limit {
                rate: 400,
                burst: 200,
            },
            lost: 0,
            repeated: 0,
        }
    }
}

/// Difference between a process's clock and the simulated time.
#[derive(Clone, Copy)]
pub struct Skew {
    pub ahead: Span,
    /// Microseconds per second that the clock gains.
    pub gain: u64,
}

impl Skew {
    /// Returns the time on the process's clock.
    pub fn read(self, now: Time) -> Time {
        now + self.ahead + Span::from_micros(now.as_micros() / 1_000 * self.gain / 1_000)
    }
}
