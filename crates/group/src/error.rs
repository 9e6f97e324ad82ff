//! Errors of reading group rows.

use snafu::Snafu;

/// An error of reading a group row.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The row's value is not the JSON of a group row.
    #[snafu(display("reading the row of group {group}: {source}; restore or delete the row"))]
    Malformed {
        /// The group's name.
        group: String,
        /// The parser's error.
        source: serde_json::Error,
    },
}
