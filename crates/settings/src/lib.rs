//! The settings tree: its types, checks, changes, and which revision an instance acts on.

mod change;
mod effective;
mod error;
mod fault;
mod schema;
mod snapshot;
mod tree;
mod values;

pub use change::Change;
pub use change::Operation;
pub use change::apply;
pub use effective::Effective;
pub use error::Error;
pub use fault::Fault;
pub use snapshot::Snapshot;
pub use snapshot::hash;
pub use tree::Account;
pub use tree::Endpoint;
pub use tree::Group;
pub use tree::Route;
pub use tree::SCHEMA;
pub use tree::Service;
pub use tree::Tree;
pub use tree::Verifier;
pub use values::CutOff;
pub use values::Priority;
pub use values::Values;
