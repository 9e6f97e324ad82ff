//! Database groups: their servers, their leader and their log.

mod group;
mod health;
mod lead;
mod server;

pub use group::Group;
pub use health::Health;
pub use lead::Lead;
pub use lead::Sample;
pub use server::Server;
