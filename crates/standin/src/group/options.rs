//! Sizes and delays of a group.

use std::net::SocketAddr;
use std::sync::Arc;

/// How a group is laid out.
#[derive(Clone, Debug)]
pub struct Options {
    /// The group's name; its servers are `NAME-1` and so on.
    pub name: Arc<str>,
    /// The addresses of the servers; the first one starts as primary.
    pub servers: Vec<SocketAddr>,
    /// Statements that run at once on one server.
    pub slots: usize,
    /// Connections open at once to the whole group.
    pub connections: usize,
    /// Milliseconds to open a connection.
    pub connect_ms: u64,
    /// Milliseconds from receiving to applying a record.
    pub lag_ms: u64,
    /// Milliseconds from commit to receiving a record.
    pub link_ms: u64,
    /// Milliseconds that a statement occupies its slot.
    pub work_ms: u64,
    /// The user that may log in.
    pub user: Arc<str>,
    /// The password of that user.
    pub password: Arc<str>,
}

impl Options {
    /// Returns the default sizes for a group with these servers.
    pub fn new(name: &str, servers: Vec<SocketAddr>) -> Self {
        Self {
            name: Arc::from(name),
            servers,
            slots: 5,
            connections: 35,
            connect_ms: 10,
            lag_ms: 20,
            link_ms: 1,
            work_ms: 0,
            user: Arc::from("yucca"),
            password: Arc::from("secret"),
        }
    }
}
