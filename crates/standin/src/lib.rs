//! Small stand-ins for what the platform gives: database groups, the store, and links.

mod args;
mod control;
mod error;
pub mod group;
pub mod link;
mod run;
mod sql;
pub mod store;
mod wire;

pub use args::Standin;
pub use control::bind;
pub use error::Error;
pub use run::run;
