//! Why a statement got no success.

/// Why a statement got no success.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Code {
    /// Nothing ran for lack of capacity; nothing of the transaction is kept.
    Busy,
    /// The transaction was ended; nothing of it is kept.
    Aborted,
    /// The server's log has not reached the position that the statement asked for.
    Behind,
    /// The server is not, or no longer, the primary; nothing of the transaction is kept.
    ReadOnly,
    /// Another server than the expected one answered.
    OtherServer,
    /// The server has no connection left.
    TooManyConnections,
    /// The statement ran and failed.
    Failed,
    /// No statement was prepared under this name.
    UnknownStatement,
    /// The statement took longer than its limit; it may have run.
    Timeout,
    /// The key is not in force.
    NoAccess,
    /// No route serves the database.
    UnknownDatabase,
    /// The message is too large.
    TooLarge,
    /// The message can't be understood, or the transaction has failed already.
    Malformed,
    /// The commit or write may have taken effect.
    InDoubt,
}

impl Code {
    /// Returns whether a server answers so without having run the statement.
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
