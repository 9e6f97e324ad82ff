//! Database server client: connections, pools with a limit per server, and replication status.

mod connector;
mod error;
mod pool;
mod postgres;
mod reply;
mod status;

pub use connector::Canceller;
pub use connector::Connection;
pub use connector::Connector;
pub use connector::Description;
pub use connector::Query;
pub use connector::Target;
pub use error::Error;
pub use pool::Lease;
pub use pool::Pool;
pub use postgres::Postgres;
pub use reply::Answer;
pub use reply::Column;
pub use reply::Reply;
pub use status::Position;
pub use status::Role;
pub use status::Status;
