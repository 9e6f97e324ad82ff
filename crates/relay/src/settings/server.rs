//! The entry in which a server describes itself.

use std::net::SocketAddr;
use std::sync::Arc;

use endpoint::Role;
use serde::Deserialize;
use serde::Serialize;

/// The entry in which a server describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Server {
    /// Its database group.
    pub group: Arc<str>,
    /// The address where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The number of statements that it runs concurrently.
    pub slots: usize,
    /// Whether it is about to shut down.
    pub is_draining: bool,
    /// The role that it reports.
    pub role: Role,
    /// When it started, in milliseconds of the wall clock; it differs after a restart.
    pub born: u64,
    /// The rest of its warm-up when it wrote the entry, in milliseconds.
    #[serde(default)]
    pub warmup_left_ms: u64,
}
