//! The replacement of primaries that fail or leave.

mod command;
mod duty;
mod held;
mod look;
mod replacement;
mod survey;
mod suspicion;

pub use duty::Duties;
pub use duty::Duty;
pub use duty::Phase;
pub use look::look;
pub use look::watch_departed;
pub use survey::Choice;
pub use survey::Survey;
pub use suspicion::Reason;
pub use suspicion::Sight;
pub use suspicion::Suspicion;
