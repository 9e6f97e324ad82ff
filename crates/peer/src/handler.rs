//! The borders between the transport and the layers above.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;

use crate::Error;

/// Who sent a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The sender's name.
    pub name: Arc<str>,
    /// The sender's incarnation.
    pub incarnation: u64,
}

/// Handles the requests of peers.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Returns the reply, or `None` if the request could not be understood.
    async fn handle(&self, caller: Peer, request: Vec<u8>) -> Option<Vec<u8>>;
}

/// Sends requests to peers.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Sends a request and waits for the reply for no longer than `timeout`.
    async fn call(
        &self,
        address: &str,
        request: Vec<u8>,
        timeout: Duration,
    ) -> Result<(Peer, Vec<u8>), Error>;
}
