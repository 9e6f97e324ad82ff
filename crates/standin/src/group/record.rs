//! Log records.

use std::sync::Arc;

use rusqlite::types::Value;
use serde::Serialize;
use tokio::time::Instant;

/// A point in the log: the term of the record, then its place counted from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Position {
    /// The term under which the record was written.
    pub term: u64,
    /// The record's place in the log.
    pub offset: u64,
}

/// A statement that changed data, with its parameters bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// The text.
    pub text: Arc<str>,
    /// The parameters in order.
    pub values: Vec<Value>,
}

/// One committed transaction, or the start of a term if it has no statements.
#[derive(Debug)]
pub struct Record {
    /// Where it stands in the log.
    pub position: Position,
    /// What it did, in order.
    pub statements: Vec<Statement>,
    /// When the primary committed it.
    pub committed: Instant,
}
