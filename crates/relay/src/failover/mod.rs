//! The replacement of primaries that fail or leave.

mod duty;
mod replacement;
mod survey;
mod suspicion;

pub use duty::Duties;
pub use duty::Duty;
pub use duty::Phase;
pub use replacement::look;
pub use replacement::watch_departed;
pub use survey::Choice;
pub use survey::Survey;
pub use suspicion::Reason;
pub use suspicion::Sight;
pub use suspicion::Suspicion;
