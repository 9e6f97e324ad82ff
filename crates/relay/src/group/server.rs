//! One server of a group.

use std::sync::Arc;
use std::sync::Mutex;

use crate::group::Health;
use crate::pool::Pool;
use crate::settings;

/// A server since its last start, with the connections to it.
pub struct Server {
    /// The server's id.
    pub name: Arc<str>,
    /// The server's latest entry in the store.
    pub entry: Mutex<settings::Server>,
    /// Its health as seen by this instance.
    pub health: Arc<Mutex<Health>>,
    /// The connections to it.
    pub pool: Arc<Pool>,
}

impl Server {
    /// Returns whether the server is about to leave.
    pub fn is_draining(&self) -> bool {
        crate::node::lock(&self.entry).is_draining
    }

    /// Returns its availability zone.
    pub fn zone(&self) -> Arc<str> {
        Arc::clone(&crate::node::lock(&self.entry).zone)
    }
}
