//! Adaptive concurrency limit of one server, driven by request latency.

use clock::Span;

use crate::queue::Policy;

/// Fixed-point scale of the limit, which allows changes smaller than one slot.
const LIMIT_SCALE: u64 = 1_000;

/// The baseline rises by 1/64 of the difference per window while the mean latency is above it.
const BASELINE_SMOOTHING: u64 = 64;

/// Adaptive concurrency limit of one server, driven by request latency.
///
/// A window is a fixed number of latency samples; the limit changes once per window.
#[derive(Clone, Debug)]
pub struct Limiter {
    policy: Policy,
    /// The limit, multiplied by `LIMIT_SCALE`.
    scaled_limit: u64,
    /// The lowest recent mean latency of a window, in microseconds; zero before the first window.
    baseline: u64,
    latency_sum: u64,
    sample_count: u32,
    /// Whether a request had to wait for a slot in this window.
    was_saturated: bool,
}

impl Limiter {
    /// Opens a limiter at the maximum limit.
    pub fn open(policy: Policy) -> Self {
        Self {
            policy,
            scaled_limit: u64::from(policy.max_running) * LIMIT_SCALE,
            baseline: 0,
            latency_sum: 0,
            sample_count: 0,
            was_saturated: false,
        }
    }

    /// Sets the upper bound of the limit and clamps the current limit to it.
    pub fn set_max_running(&mut self, max_running: u32) {
        let default_min = Policy::default().min_running;
        self.policy.max_running = max_running.max(1);
        self.policy.min_running = default_min.min(self.policy.max_running);
        let min = u64::from(self.policy.min_running) * LIMIT_SCALE;
        let max = u64::from(self.policy.max_running) * LIMIT_SCALE;
        self.scaled_limit = self.scaled_limit.clamp(min, max);
    }

    /// Returns the maximum number of concurrent requests.
    pub fn limit(&self) -> u32 {
        let whole = u32::try_from(self.scaled_limit / LIMIT_SCALE).unwrap_or(u32::MAX);
        whole.max(self.policy.min_running)
    }

    /// Records that a request had to wait for a slot, without which the limit does not rise.
    pub fn on_saturated(&mut self) {
        self.was_saturated = true;
    }

    /// Records the latency of a completed request, and adjusts the limit at the end of a window.
    pub fn on_latency(&mut self, latency: Span) {
        self.latency_sum = self.latency_sum.saturating_add(latency.as_micros());
        self.sample_count += 1;
        if self.sample_count < self.policy.window_samples {
            return;
        }
        let mean = (self.latency_sum / u64::from(self.sample_count)).max(1);
        self.adjust(mean);
        (self.latency_sum, self.sample_count, self.was_saturated) = (0, 0, false);
    }

    fn adjust(&mut self, mean: u64) {
        if self.baseline == 0 || mean < self.baseline {
            self.baseline = mean;
        } else {
            self.baseline += (mean - self.baseline) / BASELINE_SMOOTHING;
        }
        let allowed = self.baseline * self.policy.latency_tolerance_percent / 100;
        if mean > allowed {
            // Decreases in proportion to the excess latency, by at most a quarter per window.
            let next = self.scaled_limit.saturating_mul(allowed) / mean;
            self.scaled_limit = next.max(self.scaled_limit * 3 / 4);
        } else if self.was_saturated {
            self.scaled_limit += LIMIT_SCALE / 2;
        }
        let min = u64::from(self.policy.min_running) * LIMIT_SCALE;
        let max = u64::from(self.policy.max_running) * LIMIT_SCALE;
        self.scaled_limit = self.scaled_limit.clamp(min, max);
    }
}
