//! The rows that the settings keep in the platform's table.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use store::Row;

use crate::Change;
use crate::Error;
use crate::Snapshot;
use crate::Tree;

/// The key of the row that instances poll; its value is a [`Head`].
pub const HEAD: &str = "settings/head";
/// The key of the row with the whole tree; its value is a [`Snapshot`].
pub const TREE: &str = "settings/tree";
/// The key of the row with the latest [`Record`]s, oldest first.
pub const RECENT: &str = "settings/recent";
/// The latest changes of which records are kept.
pub const RECENT_CHANGES: usize = 256;

/// Which revision the table holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision of the tree.
    pub revision: u64,
    /// The id of the change that led to it.
    pub change: Arc<str>,
    /// The hash of the snapshot.
    pub hash: Arc<str>,
}

/// What is kept of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The change's id.
    pub id: Arc<str>,
    /// The revision that it led to.
    pub revision: u64,
    /// Who made it.
    pub operator: Arc<str>,
    /// When it was accepted, in milliseconds since the Unix epoch; for reports only.
    pub wall_ms: u64,
    /// The paths that it wrote.
    pub paths: Vec<Arc<str>>,
    /// The hash of its operations, by which a reused id is told from a repeated change.
    pub content: Arc<str>,
}

impl Head {
    /// Describes a snapshot.
    pub fn of(snapshot: &Snapshot) -> Self {
        Self {
            revision: snapshot.revision,
            change: Arc::clone(&snapshot.change),
            hash: Arc::clone(&snapshot.hash),
        }
    }

    /// Reads the head row; a missing one means the empty tree.
    pub fn read(row: Option<&Row>) -> Result<Self, Error> {
        match row {
            None => Ok(Self::of(&Snapshot::empty())),
            Some(row) => parse("read head row", &row.value),
        }
    }
}

impl Record {
    /// Describes a change about to be accepted.
    pub fn of(change: &Change, revision: u64, wall_ms: u64) -> Self {
        let paths = change.operations.iter();
        Self {
            id: Arc::clone(&change.id),
            revision,
            operator: Arc::clone(&change.operator),
            wall_ms,
            paths: paths.map(|step| Arc::clone(&step.path)).collect(),
            content: content(change),
        }
    }

    /// Reads a change's row.
    pub fn read(row: &Row) -> Result<Self, Error> {
        parse("read change row", &row.value)
    }

    /// Returns true if the record is of this very change.
    pub fn is_of(&self, change: &Change) -> bool {
        self.id == change.id && self.content == content(change)
    }
}

impl Snapshot {
    /// Returns revision 0, which holds before the first change.
    pub fn empty() -> Self {
        Self::of(0, "", &Tree::default())
    }

    /// Reads the tree row; a missing one means the empty tree.
    pub fn read_row(row: Option<&Row>) -> Result<Self, Error> {
        match row {
            None => Ok(Self::empty()),
            Some(row) => Self::read(row.value.as_bytes()),
        }
    }
}

/// Returns the key of a change's row; its value is a [`Record`].
pub fn change_key(id: &str) -> Arc<str> {
    Arc::from(format!("settings/change/{id}"))
}

/// Reads the recent row; a missing one means no records.
pub(crate) fn read_recent(row: Option<&Row>) -> Result<Vec<Record>, Error> {
    match row {
        None => Ok(Vec::new()),
        Some(row) => parse("read recent row", &row.value),
    }
}

/// Returns a row's JSON text.
pub(crate) fn text(value: &impl Serialize) -> Arc<str> {
    Arc::from(serde_json::to_string(value).expect("rows have only plain values"))
}

fn parse<T: serde::de::DeserializeOwned>(step: &'static str, text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|error| Error::Unreadable {
        step,
        why: error.to_string(),
    })
}

fn content(change: &Change) -> Arc<str> {
    let text = text(&change.operations);
    let digest = Sha256::digest(text.as_bytes());
    Arc::from(crate::snapshot::hex(&digest))
}
