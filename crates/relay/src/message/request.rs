//! Statements, as callers send them and as servers receive them.

use std::sync::Arc;

use endpoint::Position;
use serde::Deserialize;
use serde::Serialize;

/// Whether a prepared statement reads or writes.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "UPPERCASE")]
pub enum Access {
    /// The statement changes nothing.
    Read,
    /// The statement changes data.
    Write,
}

/// The definition of a prepared statement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Definition {
    /// Whether the statement reads or writes.
    pub access: Access,
    /// The statement's text.
    pub text: Arc<str>,
}

/// One statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction only reads.
        is_read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads an item.
    Read {
        /// The item.
        item: Arc<str>,
    },
    /// Writes an item.
    Write {
        /// The item and the data, as the caller sent them.
        arguments: Arc<str>,
    },
    /// Sets a session value.
    Set {
        /// The name.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Prepares a statement.
    Prepare {
        /// The name, valid in the session.
        name: Arc<str>,
        /// The definition.
        definition: Definition,
    },
    /// Runs a prepared statement.
    Execute {
        /// The name of the prepared statement.
        name: Arc<str>,
        /// The item and the data, as the caller sent them.
        arguments: Arc<str>,
    },
    /// Deallocates a prepared statement.
    Deallocate {
        /// The name.
        name: Arc<str>,
    },
    /// Drops all session values and prepared statements of a server connection.
    Reset,
    /// Queries a server's replication state.
    Status,
    /// Stops a replica from receiving the log, under a term above the newest.
    Pause {
        /// The term.
        term: u64,
    },
    /// Lets a paused replica receive the log again.
    Resume,
    /// Demotes a primary of an earlier term to a replica.
    Demote {
        /// The term.
        term: u64,
    },
}

/// A statement sent to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The statement id that the caller assigned; `None` for the proxy's own statements.
    pub id: Option<Arc<str>>,
    /// The minimum log position; a server that has not applied it answers `Behind`.
    pub floor: Option<Position>,
    /// The statement.
    pub statement: Statement,
}

impl Request {
    /// Creates a request for one of the proxy's own statements.
    pub fn internal(statement: Statement) -> Self {
        Self {
            id: None,
            floor: None,
            statement,
        }
    }
}

/// A message from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Begins the session.
    Start {
        /// The database.
        database: Arc<str>,
        /// The caller's key.
        key: Arc<str>,
    },
    /// A statement.
    Query {
        /// The caller's id of the statement.
        id: Arc<str>,
        /// The statement.
        statement: Statement,
    },
    /// Ends the session.
    Quit,
    /// A query that can't be parsed.
    Malformed {
        /// Why it can't be parsed.
        why: Arc<str>,
    },
    /// A message above the size limit; the connection can't be used afterwards.
    TooLarge,
}
