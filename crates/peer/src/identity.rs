//! The identity of a process towards its peers.

use std::sync::Arc;

/// One incarnation of an instance: the run of its process from one start to the next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The fleet's name; messages of another fleet are refused.
    pub fleet: Arc<str>,
    /// The instance's name.
    pub name: Arc<str>,
    /// A random number chosen at each start, never 0.
    pub incarnation: u64,
}
