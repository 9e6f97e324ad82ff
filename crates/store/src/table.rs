//! The border to the platform's transactional table.

use std::sync::Arc;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// A row: a key, a JSON text and a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key, with `/` between its parts.
    pub key: Arc<str>,
    /// The value, a JSON text.
    pub value: Arc<str>,
    /// Changes with every write of the row and is never used twice for one key.
    pub version: u64,
}

/// What a row must be like for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The row does not exist.
    Absent {
        /// The row's key.
        key: Arc<str>,
    },
    /// The row exists with this version.
    Version {
        /// The row's key.
        key: Arc<str>,
        /// The version that was read.
        version: u64,
    },
}

/// One write of a transaction.
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

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All writes took effect; rows that were put have this version.
    Committed {
        /// The version of the rows written.
        version: u64,
    },
    /// A condition did not hold, and nothing was written.
    Conflict {
        /// The rows that were in the way; a missing row is not listed.
        rows: Vec<Row>,
    },
}

/// The platform's transactional table.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row.
    async fn get(&self, key: &str) -> Result<Option<Row>, Error>;

    /// Lists the rows whose keys start with `prefix`, in key order, as of one moment.
    async fn list(&self, prefix: &str) -> Result<Vec<Row>, Error>;

    /// Writes all of `writes` if all of `conditions` hold, else nothing.
    async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<Outcome, Error>;
}
