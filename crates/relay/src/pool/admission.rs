//! Limits on queueing for a connection.

use clock::Span;
use tokio::time::Instant;

/// Limits on how long a request may queue for a connection to a server.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// The longest time the request may queue.
    pub max_wait: Span,
    /// The request is refused at once if a request ahead of it has queued this long.
    pub max_queue_age: Span,
    /// When the request must be answered.
    pub deadline: Instant,
    /// A number that differs between requests, which spreads the times at which they return.
    pub salt: u64,
}

impl Admission {
    /// Returns the limits for a request whose operation has the target latency `target`.
    ///
    /// Queueing for at most half of the target leaves time for the statement itself. Refusing
    /// once the queue is a quarter of the target old reports an overload while a retry can still
    /// meet the target.
    pub fn for_target(target: Span, deadline: Instant, salt: u64) -> Self {
        Self {
            max_wait: Span::from_micros(target.as_micros() / 2),
            max_queue_age: Span::from_micros(target.as_micros() / 4),
            deadline,
            salt,
        }
    }
}
