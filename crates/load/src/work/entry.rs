//! What became of one request.

use std::sync::Arc;
use std::time::Duration;

use crate::deployment::Kind;

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// It was refused, with the promise that it did not run.
    NotRun {
        /// The SQLSTATE.
        code: String,
    },
    /// It was answered with another error.
    Failed {
        /// The SQLSTATE.
        code: String,
    },
    /// It was sent, and whether it ran is not known.
    Unknown,
    /// No connection could be had in time, or its turn came too late.
    Unsent,
}

/// One request; times count from the start of the run.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Index of the account.
    pub account: usize,
    /// Index of the group.
    pub group: usize,
    /// The caller.
    pub caller: Arc<str>,
    /// The statement.
    pub kind: Kind,
    /// The request's id, unique in the run.
    pub request: String,
    /// When it was due.
    pub intended: Duration,
    /// When it was first sent.
    pub sent: Option<Duration>,
    /// When it ended.
    pub done: Duration,
    /// How it ended.
    pub outcome: Outcome,
    /// True if it was sent more than once, under its idempotency key.
    pub repeated: bool,
    /// True if its connection closed before an answer came.
    pub cut: bool,
    /// The last error, if there was one.
    pub error: Option<String>,
}

impl Entry {
    /// Returns the time from when it was due until it ended.
    pub fn latency(&self) -> Duration {
        self.done.saturating_sub(self.intended)
    }

    /// Returns true if it was answered.
    pub fn is_answered(&self) -> bool {
        self.outcome == Outcome::Answered
    }

    /// Returns true if it may have run.
    pub fn may_have_run(&self) -> bool {
        match self.outcome {
            Outcome::Answered | Outcome::Failed { .. } | Outcome::Unknown => true,
            Outcome::NotRun { .. } | Outcome::Unsent => self.repeated,
        }
    }
}
