//! The begin or end of an evacuation.

use std::sync::Arc;

/// The begin or end of a zone's evacuation, as noticed by this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The zone.
    pub zone: Arc<str>,
    /// Whether the zone is evacuated from now on.
    pub is_evacuated: bool,
}
