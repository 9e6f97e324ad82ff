//! Load, faults and checks for a fleet of plain processes on loopback addresses.

mod args;
pub mod check;
pub mod deployment;
mod error;
mod experiment;
pub mod fault;
mod http;
pub mod report;
mod run;
mod setup;
mod usage;
pub mod work;

pub use args::Yuccaload;
pub use error::Error;
pub use run::run;
