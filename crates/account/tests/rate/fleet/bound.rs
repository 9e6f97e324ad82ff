//! Checks that grants stay within `rate * time + burst` over every window.

use std::collections::BTreeSet;

use account::rate::Limit;
use clock::Time;

use super::options::MAX_CLOCK_GAIN;

/// The grants of one account over all instances.
///
/// `level` is the largest excess of grants over `rate * time` among all windows that end now.
#[derive(Debug, Default)]
pub struct Bound {
    limits: BTreeSet<(u64, u64)>,
    level: u64,
    at: Time,
    /// The highest level seen, in percent of the burst at that time.
    pub worst_percent: u64,
    /// The first violation, if any.
    pub violation: Option<String>,
}

impl Bound {
    /// Sets the limits that the live instances apply; a change starts new windows.
    pub fn set_limits(&mut self, limits: impl Iterator<Item = Limit>) {
        let limits: BTreeSet<_> = limits.map(|limit| (limit.rate, limit.burst)).collect();
        if limits != self.limits {
            self.limits = limits;
            self.level = 0;
        }
    }

    /// Counts a grant of `cost` tokens.
    pub fn on_grant(&mut self, now: Time, cost: u64) {
        let rate = self.limits.iter().map(|limit| limit.0).max().unwrap_or(0);
        let burst = self.limits.iter().map(|limit| limit.1).max().unwrap_or(0) * 1_000_000;
        // Instances refill by their own clocks; the fastest one gains `MAX_CLOCK_GAIN`.
        let micros = now.since(self.at).as_micros();
        let drained = rate * micros * (1_000_000 + MAX_CLOCK_GAIN) / 1_000_000;
        self.at = now;
        self.level = self.level.saturating_sub(drained) + cost * 1_000_000;
        self.worst_percent = self.worst_percent.max(self.level * 100 / burst.max(1));
        if self.level > burst && self.violation.is_none() {
            self.violation = Some(format!("level={} burst={burst} at={now}", self.level));
        }
    }
}
