//! What the tasks' calls to the table have in common.

use std::time::Duration;

use store::Error;

/// A table call without an answer for this long counts as unanswered.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Describes a call that was not answered in time; it may have taken effect.
pub fn unanswered(step: &'static str) -> Error {
    Error::Unknown {
        step,
        peer: "table".to_owned(),
        why: "no answer in time".to_owned(),
    }
}
