//! The interfaces between the transport and the layers above.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;

use crate::Error;

/// The sender of an authenticated message.
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
    /// Handles a request; returns the reply, or `None` if the request could not be decoded.
    async fn handle(&self, sender: Peer, request: Vec<u8>) -> Option<Vec<u8>>;
}

/// Sends requests to peers.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Sends a request and waits up to `timeout` for the reply.
    ///
    /// Returns the peer that replied and its reply.
    async fn call(
        &self,
        address: &str,
        request: Vec<u8>,
        timeout: Duration,
    ) -> Result<(Peer, Vec<u8>), Error>;
}
