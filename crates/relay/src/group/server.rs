//! One server of a group.

use std::sync::Arc;
use std::sync::Mutex;

use crate::group::Health;
use crate::pool::Pool;
use crate::settings;

/// One life of a server, with the connections to it.
pub struct Server {
    /// The server's id.
    pub name: Arc<str>,
    /// What it last said of itself.
    pub entry: Mutex<settings::Server>,
    /// How it answers.
    pub health: Arc<Mutex<Health>>,
    /// The connections to it.
    pub pool: Arc<Pool>,
}

impl Server {
    /// Returns whether it is about to leave.
    pub fn is_draining(&self) -> bool {
        crate::node::lock(&self.entry).is_draining
    }

    /// Returns its availability zone.
    pub fn zone(&self) -> Arc<str> {
        Arc::clone(&crate::node::lock(&self.entry).zone)
    }
}
