//! Requests to a session and their answers.

use bytes::Bytes;
use endpoint::Answer;

/// What a client asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Statements sent as text, answered in text format; several without `BEGIN` are one
    /// transaction.
    Simple {
        /// The statements; at least one.
        statements: Vec<sql::Statement>,
    },
    /// One statement with parameters, answered in binary format.
    Extended {
        /// The statement.
        statement: sql::Statement,
        /// Type identifiers of the parameters, 0 where the server is to infer one.
        types: Vec<u32>,
        /// The parameters' values, in binary format.
        values: Vec<Option<Bytes>>,
    },
}

/// The whole answer to a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// One reply a statement, in order.
    pub answer: Answer,
    /// Parameters whose values the client is told anew, such as `yuccamount.token`.
    pub parameters: Vec<(String, String)>,
}

/// The state that a client sees in `ReadyForQuery`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Transaction {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and failed; only a rollback is accepted.
    Failed,
}
