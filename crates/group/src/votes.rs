//! The peers' votes on a suspected primary.

use std::collections::BTreeMap;
use std::sync::Arc;

/// The results of an `Action::AskPeers`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Votes {
    /// The term of the suspected primary.
    pub term: u64,
    /// The number of other instances that are live.
    pub peers: usize,
    /// Each peer's vote: whether the primary is alive, or `None` if the peer cannot tell.
    pub answers: BTreeMap<Arc<str>, Option<bool>>,
}
