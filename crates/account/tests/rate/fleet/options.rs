//! What a world is like.

use account::rate::Limit;
use account::rate::Policy;
use clock::Span;
use clock::Time;

/// How many microseconds the fastest clock gains in a second.
pub const MOST_GAIN: u64 = 200;

/// What a world is like.
#[derive(Clone, Debug)]
pub struct Options {
    pub seed: u64,
    pub instances: usize,
    pub policy: Policy,
    pub limit: Limit,
    /// Messages and table calls lost, of 1000.
    pub lost: u32,
    /// Messages repeated, of 1000.
    pub repeated: u32,
}

impl Options {
    /// Returns options with short leases, so that a run covers many of them.
    pub fn quick(seed: u64, instances: usize) -> Self {
        let policy = Policy {
            lease: Span::from_secs(1),
            hold: Span::from_secs(15),
            lease_margin: Span::from_millis(50),
            hold_margin: Span::from_millis(250),
            renew_interval: Span::from_millis(300),
            read_interval: Span::from_millis(50),
            first_read_interval: Span::from_millis(50),
            max_read_gap: Span::from_millis(300),
            promise: Span::from_secs(1),
            ask_promise: Span::from_millis(150),
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

/// How a process's clock differs from the world's.
#[derive(Clone, Copy)]
pub struct Skew {
    pub ahead: Span,
    /// How many microseconds it gains in a second.
    pub gain: u64,
}

impl Skew {
    /// Returns the process's time.
    pub fn read(self, now: Time) -> Time {
        now + self.ahead + Span::from_micros(now.as_micros() / 1_000 * self.gain / 1_000)
    }
}
