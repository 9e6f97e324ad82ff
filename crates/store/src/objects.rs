//! The interface to the platform's object store.

use std::sync::Arc;

use async_trait::async_trait;

use crate::Error;

/// An object and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The content.
    pub body: Arc<[u8]>,
    /// Changes with every write.
    pub version: u64,
}

/// The platform's object store.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Reads an object; `None` if it does not exist.
    async fn get(&self, name: &str) -> Result<Option<Object>, Error>;

    /// Writes an object if its version is `expected`, or if it does not exist where `expected` is
    /// `None`.
    ///
    /// Returns the new version, or `None` if the stored version differs.
    async fn put(
        &self,
        name: &str,
        body: Arc<[u8]>,
        expected: Option<u64>,
    ) -> Result<Option<u64>, Error>;
}
