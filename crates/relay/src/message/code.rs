//! Error codes of statements.

use serde::Deserialize;
use serde::Serialize;

/// The error code of a statement.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Code {
    /// The statement did not run for lack of capacity; the transaction is rolled back.
    Busy,
    /// The transaction was rolled back.
    Aborted,
    /// The server has not applied the log position that the statement requires.
    Behind,
    /// The server is not, or no longer, the primary; the transaction is rolled back.
    ReadOnly,
    /// A server other than the expected one answered.
    OtherServer,
    /// The server has no connection left.
    TooManyConnections,
    /// The statement ran and failed.
    Failed,
    /// No prepared statement has this name.
    UnknownStatement,
    /// The statement exceeded its time limit; it may have run.
    Timeout,
    /// The key is not valid.
    NoAccess,
    /// No route serves the database.
    UnknownDatabase,
    /// The message exceeds the size limit.
    TooLarge,
    /// The message can't be parsed or doesn't fit the state of the session.
    Malformed,
    /// The commit or write may have taken effect.
    InDoubt,
}

impl Code {
    /// Returns whether the code shows that a server did not run the statement.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Behind
                | Self::ReadOnly
                | Self::OtherServer
                | Self::TooManyConnections
                | Self::UnknownStatement
        )
    }
}
