//! Client connections to servers over the PostgreSQL protocol, built on `tokio-postgres`.

mod cache;
mod connection;
mod connector;
mod error;
mod raw;

pub use connector::Postgres;
