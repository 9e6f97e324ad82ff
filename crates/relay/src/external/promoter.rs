//! The interface to the service that promotes servers.

use std::time::Duration;

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

/// The time in which an order may be sent and answered.
///
/// It is measured with a clock that goes on while the process or the machine stands still.
pub trait Validity: Send + Sync {
    /// Returns whether the order may be sent now. Nothing of an order is sent without asking this
    /// directly before.
    fn may_send(&self) -> bool;

    /// Returns the time until the order must be given up; nothing of it may arrive later.
    fn time_left(&self) -> Duration;
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
    /// Nothing was sent: there was no connection in time, or the order is not valid any more.
    Unsent,
}

impl Outcome {
    /// Returns the label of the outcome in the metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Rejected => "rejected",
            Self::Deferred => "deferred",
            Self::Unsent => "unsent",
        }
    }
}

/// Promotes servers.
#[async_trait]
pub trait Promoter: Send + Sync {
    /// Sends an order while it is valid; after an error it may still take effect, now or later.
    ///
    /// Dropping the future gives the order up: what has not reached the platform's machine by then
    /// is not delivered any more.
    async fn promote(&self, order: &Order, validity: &dyn Validity) -> Result<Outcome, Error>;
}
