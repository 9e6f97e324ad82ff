//! A configured server of a group.

use std::sync::Arc;

/// A server of a group, as listed in the settings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// The endpoint's name.
    pub endpoint: Arc<str>,
    /// The endpoint's availability zone.
    pub zone: Arc<str>,
}
