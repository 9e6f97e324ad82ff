//! The outcome of a conditional write of the group's row.

use crate::Row;

/// The result of an `Action::Commit` or `Action::Create`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The row was written.
    Committed {
        /// The row's new version.
        version: u64,
    },
    /// The row had another version than expected, or existed already.
    Conflict {
        /// The current row and its version, if the table returned them.
        current: Option<(Row, u64)>,
    },
    /// Nothing was written.
    Refused,
    /// The response was lost; the row may have been written.
    Unknown,
}
