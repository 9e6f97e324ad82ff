//! The interface to the service that promotes servers.

use async_trait::async_trait;

use crate::Error;

/// An order to promote a server to the primary of its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The group.
    pub group: std::sync::Arc<str>,
    /// The server.
    pub server: std::sync::Arc<str>,
    /// The instance that holds the failover lease.
    pub holder: std::sync::Arc<str>,
    /// The fencing token of the current lease.
    pub token: u64,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server is or is becoming the primary.
    Done,
    /// A higher fencing token was seen, or the server is not running.
    Rejected,
    /// Nothing was done; the order may be retried.
    Deferred,
}

impl Outcome {
    /// Returns the label of the outcome in the metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Rejected => "rejected",
            Self::Deferred => "deferred",
        }
    }
}

/// Promotes servers.
#[async_trait]
pub trait Promoter: Send + Sync {
    /// Sends an order; after an error it may still take effect, now or later.
    async fn promote(&self, order: &Order) -> Result<Outcome, Error>;
}
