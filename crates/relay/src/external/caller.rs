//! The border to callers.

use async_trait::async_trait;

use crate::Error;
use crate::message::Failure;
use crate::message::Message;
use crate::message::Reply;

/// One caller's connection.
#[async_trait]
pub trait Caller: Send + Sync {
    /// Waits for the next message; `None` once the caller has gone.
    ///
    /// The future may be dropped; no message is lost by it.
    async fn receive(&mut self) -> Option<Message>;

    /// Sends the answer to a statement, or to the start of the session.
    async fn send(&mut self, reply: &Reply) -> Result<(), Error>;

    /// Tells that the session has begun.
    async fn accept(&mut self) -> Result<(), Error>;

    /// Refuses to begin the session.
    async fn refuse(&mut self, failure: &Failure) -> Result<(), Error>;
}

/// The address at which callers connect.
#[async_trait]
pub trait Listener: Send + Sync {
    /// Waits for the next caller.
    async fn accept(&self) -> Result<Box<dyn Caller>, Error>;
}
