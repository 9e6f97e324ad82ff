//! Decisions of the limiter, and the actions that it requests.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use store::Condition;
use store::Write;

use crate::rate::Message;

/// The limiter's decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request runs now; its tokens were consumed.
    Run,
    /// Tokens are expected in time; call `Limiter::admit` again at `until`, or when a loan arrives.
    Wait {
        /// When to call again.
        until: Time,
    },
    /// The request does not run; the client may retry later.
    Refuse {
        /// When this instance is expected to have tokens left for the request, after those that it
        /// refused in the last second.
        retry_after: Span,
    },
}

/// A message to another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Name of the receiving instance.
    pub to: Arc<str>,
    /// The message.
    pub message: Message,
}

/// An action for the caller to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message; delivery is best-effort.
    Send(Send),
    /// List the rows that start with `ROW_PREFIX` and pass the result, or an error on timeout, to
    /// `Limiter::on_read`.
    Read {
        /// Call id to pass back with the result.
        id: u64,
    },
    /// Commit a transaction and pass the result, or `Error::Unknown` on timeout, to
    /// `Limiter::on_commit`.
    Commit {
        /// Call id to pass back with the result.
        id: u64,
        /// The transaction's conditions.
        conditions: Vec<Condition>,
        /// The transaction's writes.
        writes: Vec<Write>,
    },
}
