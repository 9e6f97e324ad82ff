//! The interface to the platform's transactional table.

use std::sync::Arc;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key, a path separated by `/`.
    pub key: Arc<str>,
    /// The value, a JSON text.
    pub value: Arc<str>,
    /// Changes with every write of the row and is never reused for the same key.
    pub version: u64,
}

/// A precondition of a transaction on one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The row does not exist.
    Absent {
        /// The row's key.
        key: Arc<str>,
    },
    /// The row exists and has this version.
    Version {
        /// The row's key.
        key: Arc<str>,
        /// The expected version.
        version: u64,
    },
}

/// One write within a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// Creates or replaces a row.
    Put {
        /// The row's key.
        key: Arc<str>,
        /// The new value.
        value: Arc<str>,
    },
    /// Deletes a row if it exists.
    Delete {
        /// The row's key.
        key: Arc<str>,
    },
}

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All writes were applied; the rows that were put have this version.
    Committed {
        /// The version of the rows written.
        version: u64,
    },
    /// A condition was not met, and nothing was written.
    Conflict {
        /// The current rows of the unmet conditions; a row that does not exist is left out.
        rows: Vec<Row>,
    },
}

/// The platform's transactional table.
#[async_trait]
pub trait Table: Send + Sync {
    /// Returns the newest known era, which rises each time the table returns from an older copy; 0
    /// where it never does.
    fn era(&self) -> u64 {
        0
    }

    /// Reads one row; `None` if it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Row>, Error>;

    /// Lists the rows whose keys start with `prefix`, in key order, from one consistent
    /// snapshot.
    async fn list(&self, prefix: &str) -> Result<Vec<Row>, Error>;

    /// Applies all of `writes` atomically if all of `conditions` are met, and nothing otherwise.
    async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<Outcome, Error>;
}
