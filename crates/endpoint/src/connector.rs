//! Traits and types of the database server client.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;

use crate::Answer;
use crate::Error;
use crate::Status;

/// The address, database and credentials of a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// The endpoint's name.
    pub name: Arc<str>,
    /// The IP address and port, separated by a colon.
    pub address: Arc<str>,
    /// The database on the server.
    pub database: Arc<str>,
    /// The user name with which the proxy logs in to the server.
    pub user: Arc<str>,
    /// The password of that user.
    pub password: Arc<str>,
}

/// A statement to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// One or more statements without parameters; values are returned in text format.
    Simple {
        /// The statements.
        text: Arc<str>,
    },
    /// One statement with parameters; values are returned in binary format.
    Extended {
        /// The statement.
        text: Arc<str>,
        /// The type OIDs of the parameters; 0 where the server infers the type.
        types: Vec<u32>,
        /// The parameter values in binary format; `None` is SQL `NULL`.
        values: Vec<Option<Bytes>>,
    },
}

/// The parameter and column types of a prepared statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Description {
    /// The type OIDs of the parameters.
    pub parameters: Vec<u32>,
    /// The result columns; empty for a statement that returns no rows.
    pub columns: Vec<crate::Column>,
}

/// A connection to a server.
#[async_trait]
pub trait Connection: Send + Sync {
    /// Runs a query and returns its complete answer.
    ///
    /// After `Error::Unknown`, or if the future is dropped, the connection must not be reused.
    async fn run(&mut self, query: &Query) -> Result<Answer, Error>;

    /// Runs a query and then reads the server's replication state, in one round trip if the
    /// protocol allows it.
    ///
    /// The server reads that state after it has run the query.
    async fn run_with_status(
        &mut self,
        query: &Query,
    ) -> Result<(Answer, Result<Status, Error>), Error> {
        let answer = self.run(query).await?;
        let status = self.status().await;
        Ok((answer, status))
    }

    /// Returns the parameter and column types of a statement without running it.
    async fn describe(&mut self, text: &str, types: &[u32]) -> Result<Description, Error>;

    /// Reads the server's replication state, after all earlier queries on this connection.
    async fn status(&mut self) -> Result<Status, Error>;

    /// Promotes the server to primary of `term`.
    async fn promote(&mut self, term: u64) -> Result<(), Error>;

    /// Returns a handle that cancels the running statement over a separate connection.
    fn canceller(&self) -> Arc<dyn Canceller>;

    /// Returns true if the connection is known to be broken.
    fn is_closed(&self) -> bool;
}

/// Cancels a running statement from another task.
#[async_trait]
pub trait Canceller: Send + Sync {
    /// Sends a cancel request; the server may ignore it.
    async fn cancel(&self);
}

/// Opens connections to servers.
#[async_trait]
pub trait Connector: Send + Sync {
    /// Opens a connection.
    async fn connect(&self, target: &Target) -> Result<Box<dyn Connection>, Error>;
}
