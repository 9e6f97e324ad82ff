//! One change as pushed to peers.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Change;
use crate::Error;
use crate::Snapshot;
use crate::Tree;
use crate::apply;

/// One change as pushed to instances that hold the revision before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision that the change leads to.
    pub revision: u64,
    /// The hash of the snapshot that it leads to.
    pub hash: Arc<str>,
    /// The change, as JSON text.
    pub change: Arc<str>,
}

impl Delta {
    /// Describes a change that led to a snapshot.
    pub fn of(change: &Change, snapshot: &Snapshot) -> Self {
        Self {
            revision: snapshot.revision,
            hash: Arc::clone(&snapshot.hash),
            change: crate::record::text(change),
        }
    }

    /// Returns the snapshot that the change leads to from a tree.
    pub(crate) fn on(&self, tree: &Tree) -> Result<Snapshot, Error> {
        let change: Change =
            serde_json::from_str(&self.change).map_err(|error| Error::Unreadable {
                step: "read pushed change",
                why: error.to_string(),
            })?;
        let tree = apply(tree, &change)?;
        Ok(Snapshot::of(self.revision, &change.id, &tree))
    }
}
