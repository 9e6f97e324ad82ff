//! What the holder of a failover lease knew of acknowledged commits.

use std::collections::BTreeMap;
use std::sync::Arc;

use endpoint::Position;
use serde::Deserialize;
use serde::Serialize;

/// What the holder of a failover lease knew of acknowledged commits, for its successor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// When the runs of the registered servers started, by id.
    #[serde(default)]
    pub runs: BTreeMap<Arc<str>, u64>,
    /// The highest position in a reply that acknowledged a commit; `None` if none is known or the
    /// replacement has ended, as the leader's log has every acknowledged commit then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bound: Option<Position>,
}
