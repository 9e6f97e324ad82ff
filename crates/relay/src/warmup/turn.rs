//! An instance's turn among all instances.

/// An instance's turn among all live instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Turn {
    /// The instance's place, below `instances`.
    pub place: u64,
    /// The number of live instances; 0 as long as it is unknown.
    pub instances: u64,
}
