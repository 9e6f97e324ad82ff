//! The commit whose reply carried the highest position.

use std::sync::Arc;

use clock::Time;

/// The commit whose reply carried the highest position that this instance has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastCommit {
    /// The server that acknowledged it.
    pub server: Arc<str>,
    /// When this instance acknowledged it to the caller.
    pub acknowledged_at: Time,
    /// The other commits that this instance had sent to the server and that were unanswered then. The
    /// position may be that of one of them, or of another instance's commit.
    pub unanswered: usize,
}
