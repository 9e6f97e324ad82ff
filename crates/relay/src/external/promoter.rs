//! The border to whoever makes a server the primary.

use async_trait::async_trait;

use crate::Error;

/// An order to make a server its group's primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The group.
    pub group: std::sync::Arc<str>,
    /// The server.
    pub server: std::sync::Arc<str>,
    /// The instance that holds the duty.
    pub holder: std::sync::Arc<str>,
    /// The fencing token of this term of the duty.
    pub token: u64,
}

/// The answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server is, or is becoming, the primary.
    Done,
    /// A higher token was seen, or the server does not run.
    Rejected,
    /// Nothing was done for now; the same order may be given again.
    Deferred,
}

/// Carries orders out.
#[async_trait]
pub trait Promoter: Send + Sync {
    /// Gives an order; after an error it may or may not be carried out, now or later.
    async fn promote(&self, order: &Order) -> Result<Outcome, Error>;
}
