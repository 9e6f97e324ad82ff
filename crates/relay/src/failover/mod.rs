//! Failover: replaces primaries that fail or leave.

mod check;
mod claim;
mod command;
mod departed;
mod departures;
mod detector;
mod lease;
mod opinion;
mod promotion;
mod recheck;
mod replacement;
mod retirement;
mod revocation;
mod row;
mod survey;

pub use check::check;
pub use departed::watch_departed;
pub use departures::Departed;
pub use departures::Departures;
pub use detector::Detector;
pub use detector::Observation;
pub use detector::Reason;
pub use lease::Lease;
pub use lease::Leases;
pub use lease::Phase;
pub use lease::Run;
pub use opinion::Opinion;
use promotion::Promotion;
pub use recheck::Recheck;
use retirement::Retirement;
pub use revocation::Revocation;
pub use row::Rows;
pub use survey::Choice;
pub use survey::Survey;
