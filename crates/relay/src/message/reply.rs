//! Answers to statements.

use std::sync::Arc;

use clock::Span;
use endpoint::Position;

use crate::message::Code;

/// Where a session stands between two statements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
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

/// Why a statement got no success, with a text for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The cause.
    pub code: Code,
    /// More about the cause.
    pub text: Arc<str>,
}

impl Failure {
    /// Describes a failure.
    pub fn new(code: Code, text: &str) -> Self {
        Self {
            code,
            text: Arc::from(text),
        }
    }

    /// Describes a statement that did not run, and when its caller may come back.
    pub fn not_run(why: &str, retry_after: Span) -> Self {
        let wait = retry_after.as_millis();
        let text = format!("{why}; not run, retry-after-ms={wait}");
        Self::new(Code::Busy, &text)
    }
}

/// The whole answer to one statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The rows.
    pub rows: Vec<Arc<str>>,
    /// The server's signature, or why there was no success; the proxy's own answers sign with
    /// `None`.
    pub outcome: Result<Option<Arc<str>>, Failure>,
    /// Where the session stands now.
    pub state: State,
    /// The server's position in its log.
    pub position: Option<Position>,
}

impl Reply {
    /// Returns a success that no server gave.
    pub fn own(state: State) -> Self {
        Self {
            rows: Vec::new(),
            outcome: Ok(None),
            state,
            position: None,
        }
    }

    /// Returns a failure.
    pub fn failed(failure: Failure, state: State) -> Self {
        Self {
            rows: Vec::new(),
            outcome: Err(failure),
            state,
            position: None,
        }
    }

    /// Returns the code of a failure.
    pub fn code(&self) -> Option<Code> {
        self.outcome.as_ref().err().map(|failure| failure.code)
    }
}
