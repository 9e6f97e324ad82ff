//! The end of an instance's reliance on a leader.

use std::sync::Arc;

use endpoint::Position;

/// The end of an instance's reliance on a leader that is replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// The instance.
    pub instance: Arc<str>,
    /// The highest position of a commit acknowledged through it; there will be no higher one before
    /// the replacement is settled.
    pub acknowledged: Position,
}
