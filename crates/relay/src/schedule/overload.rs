//! The state of a queue that has no room for a request.

use clock::Span;

/// The state of a queue that has no room for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// Requests that wait and go before a new one.
    pub waiting: usize,
    /// Statements that may run at once.
    pub slots: usize,
    /// The longest wait with which the request would have been queued.
    pub max_queue_age: Span,
    /// The time until the request must be answered.
    pub time_left: Span,
    /// A number that differs between requests.
    pub salt: u64,
}
