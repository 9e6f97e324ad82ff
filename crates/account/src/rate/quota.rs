//! Adjustment of rate limits to how a deployment measures usage.

use clock::Span;

use crate::rate::Limit;

/// Microseconds per second.
const MICROS: u64 = 1_000_000;

/// How a deployment measures the usage of an account: no window may hold more requests than
/// rate × window + burst + slack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Length of the windows; never zero.
    pub window: Span,
    /// Number of requests that a window may hold beyond the limit.
    pub slack: u64,
}

impl Quota {
    /// Returns the token bucket limit that enforces an account's limit.
    ///
    /// It adds half of the slack, spread over the window, to the rate. The other half is reserved
    /// for requests that wait after their admission and reach a server later.
    pub fn bucket_limit(&self, limit: Limit) -> Limit {
        if limit.rate == 0 {
            return limit;
        }
        let extra = self.slack.min(limit.burst).saturating_mul(MICROS) / self.window.as_micros();
        Limit {
            rate: limit.rate.saturating_add(extra),
            burst: self.slack.max(limit.burst),
        }
    }
}
