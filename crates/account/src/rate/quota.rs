//! Limits that hold over windows of a stated length.

use clock::Span;

use crate::rate::Limit;

/// Microseconds in a second.
const MICROS: u64 = 1_000_000;

/// How a deployment counts what an account uses: in no window more than rate × window + burst,
/// and some requests more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// The length of the windows; never zero.
    pub window: Span,
    /// Requests that a window may hold beyond the limit.
    pub slack: u64,
}

impl Quota {
    /// Returns the bucket that keeps an account's limit.
    ///
    /// It grants half of the slack, spread over the window. The other half is left for requests
    /// that wait after they were admitted and reach a server later.
    pub fn bucket_limit(&self, limit: Limit) -> Limit {
        if limit.rate == 0 {
            return limit;
        }
        let extra = (self.slack / 2).saturating_mul(MICROS) / self.window.as_micros();
        Limit {
            rate: limit.rate.saturating_add(extra),
            burst: limit.burst,
        }
    }
}
