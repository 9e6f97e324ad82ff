//! The border to rows that are followed as they change.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;

use crate::Error;

/// One row that was read or that changed, decoded by the adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change<T> {
    /// The row's name below what is followed.
    pub name: Arc<str>,
    /// The row's content; `None` if it was removed or can't be decoded.
    pub value: Option<T>,
}

/// Rows as of one version of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch<T> {
    /// The rows, in the order of their changes.
    pub changes: Vec<Change<T>>,
    /// The version from which to follow on.
    pub version: u64,
}

/// The answer to a request for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update<T> {
    /// What changed; empty if nothing did while the call waited.
    Batch(Batch<T>),
    /// The store no longer has the changes asked for; all rows must be read again.
    Compacted,
}

/// Rows of one kind that can be read as a whole and then followed.
#[async_trait]
pub trait Watch<T>: Send + Sync {
    /// Reads all rows.
    async fn read(&self) -> Result<Batch<T>, Error>;

    /// Waits for changes after a version, for no longer than about `wait`.
    async fn follow(&self, after: u64, wait: Duration) -> Result<Update<T>, Error>;
}
