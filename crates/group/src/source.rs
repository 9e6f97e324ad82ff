//! A server that may serve reads.

use std::sync::Arc;

use clock::Time;
use endpoint::Position;

/// A server that may serve reads, with how current its data is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// The endpoint's name.
    pub endpoint: Arc<str>,
    /// The endpoint's availability zone.
    pub zone: Arc<str>,
    /// The position that the server had applied when it last reported.
    pub applied: Position,
    /// The start of the latest query of the primary whose position this server has applied.
    ///
    /// A read is at most as stale as the time from here to the read's own start.
    pub fresh_at: Option<Time>,
}
