//! The interface to tables whose changes can be watched.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;

use crate::Error;
use crate::Progress;

/// A row that was read or that changed, decoded by the adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change<T> {
    /// The row's key within the watched table.
    pub name: Arc<str>,
    /// The decoded value; `None` if the row was deleted or its value can't be decoded.
    pub value: Option<T>,
}

/// Rows up to one version of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch<T> {
    /// The rows, in the order in which they changed.
    pub changes: Vec<Change<T>>,
    /// The version to pass to the next `follow`.
    pub version: u64,
}

/// The result of a request for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delta<T> {
    /// The changes; empty if there were none while the call waited.
    Batch(Batch<T>),
    /// The store has discarded changes after the requested version; all rows must be read again.
    Compacted,
}

/// A table that can be read in full and then watched for changes.
///
/// Calls wait for the reply as long as it takes; `progress` shows how much of it has arrived.
#[async_trait]
pub trait Watch<T>: Send + Sync {
    /// Reads all rows and the version of the store.
    async fn read(&self, progress: &Progress) -> Result<Batch<T>, Error>;

    /// Long-polls for changes after a version; returns after about `wait` at the latest.
    async fn follow(
        &self,
        after: u64,
        wait: Duration,
        progress: &Progress,
    ) -> Result<Delta<T>, Error>;
}
