//! Who a process is to its peers.

use std::sync::Arc;

/// One incarnation of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The fleet's name; messages of another fleet are refused.
    pub fleet: Arc<str>,
    /// The instance's name.
    pub name: Arc<str>,
    /// Drawn at random at each start and never 0.
    pub incarnation: u64,
}
