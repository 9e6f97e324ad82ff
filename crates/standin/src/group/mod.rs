//! One database group: servers, their logs and replication between them.

mod group;
mod options;
mod record;
mod replication;
mod server;
mod state;
mod store;
mod transaction;

pub use group::Group;
pub use options::Options;
pub use record::Position;
pub use record::Record;
pub use record::Statement;
pub(crate) use server::Refusal;
pub use server::Server;
pub use state::Role;
pub use state::Status;
pub use store::Open;
pub(crate) use store::Store;
pub(crate) use transaction::Transaction;
