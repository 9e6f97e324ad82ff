//! Why a text cannot be split into statements.

use snafu::Snafu;

/// A text that holds several statements of which not all are understood.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The text is not one statement, and the parser does not understand it.
    #[snafu(display("parse: {why}; send one statement at a time"))]
    Syntax {
        /// What the parser said.
        why: String,
    },
}

impl Error {
    /// Returns the SQLSTATE that a client is told.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Syntax { .. } => "42601",
        }
    }
}
