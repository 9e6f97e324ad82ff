//! The replacement of primaries that fail or leave.

mod checkup;
mod command;
mod departed;
mod departures;
mod held;
mod lease;
mod look;
mod replacement;
mod row;
mod survey;
mod suspicion;

pub use checkup::Checkup;
pub use departed::watch_departed;
pub use departures::Departed;
pub use departures::Departures;
pub use lease::Lease;
pub use lease::Leases;
pub use lease::Phase;
pub use look::look;
pub use row::Rows;
pub use survey::Choice;
pub use survey::Survey;
pub use suspicion::Reason;
pub use suspicion::Sight;
pub use suspicion::Suspicion;
