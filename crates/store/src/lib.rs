//! Interfaces to the platform (a transactional table, an object store and a roster), with an HTTP
//! client and an in-memory implementation.

mod error;
mod http;
mod memory;
mod objects;
mod progress;
mod roster;
mod table;
pub mod version;
mod watch;

pub use error::Error;
pub use http::Http;
pub use memory::Backup;
pub use memory::Memory;
pub use objects::Object;
pub use objects::Objects;
pub use progress::Progress;
pub use roster::Machine;
pub use roster::Roster;
pub use roster::Status;
pub use table::Condition;
pub use table::Outcome;
pub use table::Row;
pub use table::Table;
pub use table::Write;
pub use watch::Batch;
pub use watch::Change;
pub use watch::Delta;
pub use watch::Watch;
