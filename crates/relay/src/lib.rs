//! Relays statements of sessions to groups of replicated databases.
//!
//! For groups whose servers acknowledge commits by their own synchronous replication, and whose
//! protocol carries positions of the log with every answer.

mod error;

pub mod external;
pub mod failover;
pub mod group;
pub mod logs;
pub mod message;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod pool;
pub mod run;
pub mod session;
pub mod settings;
pub mod task;

pub use error::Error;
pub use run::run;
