//! The interface to database servers.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use endpoint::Position;
use endpoint::Role;

use crate::Error;
use crate::message::Reply;
use crate::message::Request;

/// A server to connect to and the account that uses the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The database group.
    pub group: Arc<str>,
    /// The server's id; another server at the same address refuses the connection.
    pub server: Arc<str>,
    /// The address where it listens.
    pub address: SocketAddr,
    /// The client account whose statements the connection carries.
    pub account: Arc<str>,
}

/// The replication state that a server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// The role that the server reports.
    pub role: Role,
    /// The server's term.
    pub term: u64,
    /// The last log position that it received.
    pub received: Position,
    /// The term under which it was paused, 0 if it receives the log.
    pub paused_term: u64,
}

/// One connection to one server.
///
/// Not cancel safe: after an error or a dropped future it must not be used again.
#[async_trait]
pub trait Connection: Send + Sync {
    /// Pipelines requests.
    async fn send(&mut self, requests: &[Request]) -> Result<(), Error>;

    /// Receives the reply to the oldest outstanding request.
    async fn receive(&mut self) -> Result<Reply, Error>;

    /// Parses the replication state in the reply to a status request.
    fn status(&self, reply: &Reply) -> Option<Status>;

    /// Returns false if the server is known to have closed an idle connection.
    fn is_open(&mut self) -> bool;
}

/// Opens connections to servers.
#[async_trait]
pub trait Connector: Send + Sync {
    /// Opens a connection; a refusal by the server is `Error::Refused`.
    async fn open(&self, target: &Target) -> Result<Box<dyn Connection>, Error>;
}
