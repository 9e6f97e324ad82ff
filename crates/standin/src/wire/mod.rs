//! The PostgreSQL protocol in front of a server.

mod answer;
mod handlers;
mod reply;
mod session;
mod startup;

pub(crate) use handlers::serve;
