//! A row by which the operator directs the instances.

use std::sync::Arc;

use crate::settings::Revision;

/// A row by which the operator directs the instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Directive {
    /// The settings.
    Settings(Revision),
    /// A zone is evacuated; the key names it, and the value is ignored.
    Evacuation,
}

impl Directive {
    /// The prefix of the keys of evacuations; the zone's name follows.
    pub const EVACUATION_PREFIX: &str = "evacuate/";
    /// The table of the directives.
    pub const TABLE: &str = "op";

    /// Returns the zone of an evacuation's key; `None` for another row's key.
    pub fn zone(key: &str) -> Option<Arc<str>> {
        let zone = key.strip_prefix(Self::EVACUATION_PREFIX)?;
        (!zone.is_empty()).then(|| Arc::from(zone))
    }
}
