//! Timeout handling shared by the tasks' calls to the table.

use std::time::Duration;

use store::Error;

/// Timeout of a call to the table.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Returns the error of a call that timed out; the call may still have taken effect.
pub fn timed_out(step: &'static str) -> Error {
    Error::Unknown {
        step,
        peer: "table".to_owned(),
        why: "no answer in time".to_owned(),
    }
}
