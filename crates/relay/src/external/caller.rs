//! The interface to callers.

use async_trait::async_trait;

use crate::Error;
use crate::message::Failure;
use crate::message::Message;
use crate::message::Reply;

/// A connection to one caller.
#[async_trait]
pub trait Caller: Send + Sync {
    /// Waits for the next message; `None` once the caller has disconnected.
    ///
    /// Cancel safe: dropping the future loses no message.
    async fn receive(&mut self) -> Option<Message>;

    /// Sends the reply to a statement.
    async fn send(&mut self, reply: &Reply) -> Result<(), Error>;

    /// Confirms that the session has begun.
    async fn accept(&mut self) -> Result<(), Error>;

    /// Refuses to begin the session.
    async fn refuse(&mut self, failure: &Failure) -> Result<(), Error>;
}

/// A listener for connections from callers.
#[async_trait]
pub trait Listener: Send + Sync {
    /// Waits for the next caller.
    async fn accept(&self) -> Result<Box<dyn Caller>, Error>;
}
