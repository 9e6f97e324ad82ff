//! Callers that offer load and keep what they saw.

mod arrivals;
mod caller;
mod entry;
mod probe;
mod request;
mod runner;
mod session;
mod stage;

pub use entry::Entry;
pub use entry::Outcome;
pub use probe::Probe;
pub use request::READS;
pub use request::second_id;
pub use runner::Options;
pub use runner::Runner;
pub use runner::callers;
pub use stage::Stage;
