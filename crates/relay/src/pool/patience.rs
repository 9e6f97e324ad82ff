//! How long a request waits for its turn.

use clock::Span;
use tokio::time::Instant;

/// How long a request waits for its turn at a server.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// The longest wait for a turn.
    pub wait: Span,
    /// If others have waited this long already, the request does not join them.
    pub line: Span,
    /// When the request has to be answered.
    pub deadline: Instant,
}

impl Patience {
    /// Returns the patience of a request whose operation should end within `target`.
    ///
    /// Half of the target leaves time for the statement itself. Refusing once the line is a
    /// quarter long tells callers of an overload while another try may still end in time.
    pub fn of_target(target: Span, deadline: Instant) -> Self {
        Self {
            wait: Span::from_micros(target.as_micros() / 2),
            line: Span::from_micros(target.as_micros() / 4),
            deadline,
        }
    }
}
