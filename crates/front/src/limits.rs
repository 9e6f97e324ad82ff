//! Limits that keep one client from using up an instance.

use clock::Span;

/// The listener's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Open sessions; further logins are refused.
    pub sessions: usize,
    /// Connections that have not logged in yet; further ones are refused.
    pub logins: usize,
    /// How long a connection may take to log in.
    pub startup: Span,
    /// How long a client may take to accept the next part of an answer.
    pub write: Span,
    /// The longest message from a client that has logged in, in bytes.
    pub message_bytes: usize,
    /// Failed logins of one account from one address within `failure_window`.
    pub failures: u32,
    /// The span over which failed logins count.
    pub failure_window: Span,
    /// Prepared statements, and portals, of one session.
    pub prepared: usize,
    /// The texts and values that the prepared statements and portals of a session hold, in bytes.
    pub prepared_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            sessions: 4_096,
            logins: 512,
            startup: Span::from_secs(10),
            write: Span::from_secs(60),
            message_bytes: 16 * 1_024 * 1_024,
            failures: 20,
            failure_window: Span::from_secs(10),
            prepared: 1_024,
            prepared_bytes: 32 * 1_024 * 1_024,
        }
    }
}
