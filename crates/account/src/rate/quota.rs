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
    /// Returns the limit of a bucket that adds half of the slack, spread over the window, to the rate.
    pub fn raise_rate(&self, limit: Limit) -> Limit {
        if limit.rate == 0 {
            return limit;
        }
        Limit {
            rate: limit.rate.saturating_add(self.per_second(self.slack / 2)),
            burst: limit.burst,
        }
    }

    /// Returns the limit of a bucket whose burst is the larger one of burst and slack; the smaller
    /// one, spread over the window, raises the rate.
    ///
    /// So a window holds at most what the limit and the slack allow, and every account gets at least
    /// its rate and its burst. Requests that wait after their admission arrive later, but count only
    /// in windows in which they were also sent.
    pub fn spread(&self, limit: Limit) -> Limit {
        if limit.rate == 0 {
            return limit;
        }
        let extra = self.per_second(self.slack.min(limit.burst));
        Limit {
            rate: limit.rate.saturating_add(extra),
            burst: self.slack.max(limit.burst),
        }
    }

    /// Returns the whole number of tokens a second that brings at most `tokens` in a window.
    fn per_second(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(MICROS) / self.window.as_micros()
    }
}
