//! Parameters of the fair queue.

use clock::Span;

/// Parameters of the fair queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Maximum number of queued requests.
    pub max_queued: usize,
    /// Lower bound of the concurrency limit.
    pub min_running: u32,
    /// Upper bound of the concurrency limit: the number of connections to the server.
    pub max_running: u32,
    /// Slot time that an account of weight 1 receives per round.
    pub quantum: Span,
    /// A mean latency above this percentage of the baseline lowers the concurrency limit.
    pub latency_tolerance_percent: u64,
    /// Number of latency samples per adjustment of the concurrency limit.
    pub window_samples: u32,
    /// Fault injection for tests: sheds from the account of the incoming request, whatever its
    /// load.
    pub shed_last: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            max_queued: 512,
            min_running: 2,
            max_running: 5,
            quantum: Span::from_millis(5),
            latency_tolerance_percent: 200,
            window_samples: 20,
            shed_last: false,
        }
    }
}
