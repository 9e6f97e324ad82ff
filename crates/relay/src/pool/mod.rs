//! Connection pools, shared by the sessions of an instance.

mod admission;
mod connection;
mod permit;
mod pool;
mod queue;
mod usage;

pub use admission::Admission;
pub use connection::Connection;
pub use permit::Permit;
pub use pool::Pool;
pub use usage::Usage;
