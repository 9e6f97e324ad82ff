//! Relays the statements of sessions to groups of replicated databases.
//!
//! It is for groups whose servers acknowledge commits by their own synchronous replication and
//! whose protocol carries a log position in every reply.

mod error;

pub mod balance;
pub mod evacuation;
pub mod external;
pub mod failover;
pub mod forward;
pub mod group;
pub mod logs;
pub mod message;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod pool;
pub mod run;
pub mod schedule;
pub mod session;
pub mod settings;
pub mod task;
pub mod warmup;

pub use error::Error;
pub use run::run;
