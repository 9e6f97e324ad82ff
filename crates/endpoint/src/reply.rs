//! Query results returned by a server.
//!
//! `Answer` is stored with `postcard` beside idempotency keys, so the order and types of fields
//! must not change.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// A result column.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Column {
    /// The column's name.
    pub name: Arc<str>,
    /// The object identifier (OID) of its PostgreSQL type.
    pub type_oid: u32,
}

/// The result of one statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The columns; `None` for a statement that cannot return rows.
    pub columns: Option<Vec<Column>>,
    /// The rows, each value in the requested format; `None` is SQL `NULL`.
    pub rows: Vec<Vec<Option<Bytes>>>,
    /// The first word or words of the completion tag, such as `INSERT`.
    pub tag: Arc<str>,
    /// The number of rows affected or returned.
    pub affected: u64,
}

/// The results of one query, which may contain several statements.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// One reply per statement, in order.
    pub replies: Vec<Reply>,
}
