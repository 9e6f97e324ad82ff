//! Database groups: their servers, their leader and their log.

mod group;
mod health;
mod leadership;
mod server;

pub use group::Group;
pub use health::Health;
pub use leadership::Leadership;
pub use leadership::Sample;
pub use server::Server;
