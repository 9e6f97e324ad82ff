//! Database groups: their servers, their leader and their log.

mod group;
mod lead;
mod server;
mod vitals;

pub use group::Group;
pub use lead::Lead;
pub use lead::Sample;
pub use server::Server;
pub use vitals::Vitals;
