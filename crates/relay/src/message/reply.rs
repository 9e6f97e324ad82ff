//! Replies to statements.

use std::sync::Arc;

use clock::Span;
use endpoint::Position;
use serde::Deserialize;
use serde::Serialize;

use crate::message::Code;

/// The transaction state of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction failed and can only be rolled back.
    Failed,
}

/// Why a statement failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The error code.
    pub code: Code,
    /// A human-readable description.
    pub text: Arc<str>,
}

impl Failure {
    /// Creates a failure.
    pub fn new(code: Code, text: &str) -> Self {
        Self {
            code,
            text: Arc::from(text),
        }
    }

    /// Creates the failure of a statement that did not run, with the delay before a retry.
    pub fn not_run(why: &str, retry_after: Span) -> Self {
        let wait = retry_after.as_millis();
        let text = format!("{why}; not run, retry-after-ms={wait}");
        Self::new(Code::Busy, &text)
    }
}

/// The reply to one statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The rows.
    pub rows: Vec<Arc<str>>,
    /// The server's signature or the failure; the signature is `None` in replies that the proxy
    /// itself creates.
    pub outcome: Result<Option<Arc<str>>, Failure>,
    /// The transaction state of the session.
    pub state: State,
    /// The log position that the server has applied.
    pub position: Option<Position>,
}

impl Reply {
    /// Creates a success reply of the proxy itself.
    pub fn local(state: State) -> Self {
        Self {
            rows: Vec::new(),
            outcome: Ok(None),
            state,
            position: None,
        }
    }

    /// Creates a failure reply.
    pub fn failed(failure: Failure, state: State) -> Self {
        Self {
            rows: Vec::new(),
            outcome: Err(failure),
            state,
            position: None,
        }
    }

    /// Returns the error code of a failure reply.
    pub fn code(&self) -> Option<Code> {
        self.outcome.as_ref().err().map(|failure| failure.code)
    }
}
