//! Errors of the administration interface.

use snafu::Snafu;

/// Why an operator's request was not carried out.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// What the request names does not exist.
    #[snafu(display("{path}: {name:?} does not exist"))]
    Missing {
        /// Which part of the request names it.
        path: &'static str,
        /// The name.
        name: String,
    },
    /// It can't be done now; nothing was done.
    #[snafu(display("{step}: not done: {why}"))]
    NotNow {
        /// What was being done.
        step: &'static str,
        /// The cause.
        why: String,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The list of operators' tokens in the process's settings is wrong.
    #[snafu(display(
        "operators' tokens, entry {entry}: expected NAME:read:SECRET or NAME:write:SECRET, the secret of at least 16 bytes"
    ))]
    Tokens {
        /// The entry, counted from 1.
        entry: usize,
    },
}
