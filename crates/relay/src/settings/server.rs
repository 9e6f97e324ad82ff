//! What a server tells the platform about itself.

use std::net::SocketAddr;
use std::sync::Arc;

use endpoint::Role;
use serde::Deserialize;
use serde::Serialize;

/// A server's own description.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its database group.
    pub group: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Statements that it runs at a time.
    pub slots: usize,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// What it takes itself for.
    pub role: Role,
    /// When it started, in milliseconds of the wall clock; another number is another life.
    pub born: u64,
}
