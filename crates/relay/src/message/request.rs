//! Statements, as callers send them and as servers get them.

use std::sync::Arc;

use endpoint::Position;

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumString)]
#[strum(serialize_all = "UPPERCASE")]
pub enum Access {
    /// It changes nothing.
    Read,
    /// It changes data.
    Write,
}

/// What a prepared statement does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Definition {
    /// Whether it reads or writes.
    pub access: Access,
    /// The statement's text.
    pub text: Arc<str>,
}

/// One statement.
#[derive(Clone, Debug, PartialEq, Eq)]
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
        /// Item and data, as the caller sent them.
        arguments: Arc<str>,
    },
    /// Sets a value of the session.
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
        /// What it does.
        definition: Definition,
    },
    /// Runs a prepared statement.
    Execute {
        /// The name under which it was prepared.
        name: Arc<str>,
        /// Item and data, as the caller sent them.
        arguments: Arc<str>,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The name.
        name: Arc<str>,
    },
    /// Drops all values and prepared statements of a server connection.
    Reset,
    /// Asks a server for its replication state.
    Status,
    /// Stops a replica from receiving, under a term above the newest.
    Pause {
        /// The term.
        term: u64,
    },
    /// Lets a paused replica receive again.
    Resume,
    /// Makes a primary of an earlier term a replica.
    Demote {
        /// The term.
        term: u64,
    },
}

/// A statement on its way to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The caller's id of the statement; `None` for one of the proxy's own.
    pub id: Option<Arc<str>>,
    /// The server must hold this position, or it answers `Behind`.
    pub floor: Option<Position>,
    /// The statement.
    pub statement: Statement,
}

impl Request {
    /// Returns a statement of the proxy's own.
    pub fn internal(statement: Statement) -> Self {
        Self {
            id: None,
            floor: None,
            statement,
        }
    }
}

/// What a caller sends.
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
    /// A query whose text can't be understood.
    Malformed {
        /// What is wrong with it.
        why: Arc<str>,
    },
    /// A message above the largest size; the connection is not usable after it.
    TooLarge,
}
