//! What the ledger answers and what it wants done.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use store::Condition;
use store::Write;

use crate::rate::Message;

/// Whether a request may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Its tokens were taken; it runs now.
    Run,
    /// Tokens are expected; ask again at `until`, or earlier when a loan arrives.
    Wait {
        /// When to ask again.
        until: Time,
    },
    /// It does not run; the client may come back after a while.
    Refuse {
        /// When tokens for it will have come at the fleet's rate.
        retry_after: Span,
    },
}

/// A message to another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// The instance.
    pub to: Arc<str>,
    /// The message.
    pub message: Message,
}

/// Something that the ledger wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send(Send),
    /// List the rows that start with `ROW_PREFIX` and pass the answer, or an error on a time-out, to
    /// `Limiter::on_read`.
    Read {
        /// Goes back with the answer.
        id: u64,
    },
    /// Commit a transaction and pass the answer, or `Unknown` on a time-out, to
    /// `Limiter::on_commit`.
    Commit {
        /// Goes back with the answer.
        id: u64,
        /// The transaction's conditions.
        conditions: Vec<Condition>,
        /// The transaction's writes.
        writes: Vec<Write>,
    },
}
