//! The commit that an instance acknowledged last.

use std::sync::Arc;

use clock::Time;

/// The commit that an instance acknowledged last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastCommit {
    /// The server that ran it.
    pub server: Arc<str>,
    /// When the instance acknowledged it to the caller.
    pub acknowledged_at: Time,
    /// The other commits that the instance had sent to the server and that were unanswered then. The
    /// position in the reply may be that of one of them, or of another instance's commit.
    pub unanswered: usize,
}
