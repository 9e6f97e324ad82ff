//! The replication state reported by a server.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A position in a group's replication log: the term of a record, then its offset.
///
/// Positions of a group are totally ordered, by term first and by offset second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Hash,
)]
pub struct Position {
    /// The term under which the record was written.
    pub term: u64,
    /// The record's index in the log, counted from 1.
    pub offset: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.offset)
    }
}

/// The replication role that a server reports.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    Hash,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates from a primary.
    Replica,
}

/// The replication state of a server, as returned by a status query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The role that the server reports; an isolated primary does not know of its replacement.
    pub role: Role,
    /// The last log record that the server holds, with the term of that record.
    ///
    /// A server reports a later term only once it holds the first record of that term, and so
    /// all records before it.
    pub received: Position,
    /// The last log record that is visible to reads; never after `received`.
    pub applied: Position,
}
