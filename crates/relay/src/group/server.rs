//! One server of a group.

use std::sync::Arc;
use std::sync::Mutex;

use clock::Time;

use crate::evacuation::Evacuations;
use crate::group::Health;
use crate::node::lock;
use crate::pool::Pool;
use crate::settings;
use crate::warmup::Warmup;

/// A server since its last start, with the connections to it.
pub struct Server {
    /// The server's id.
    pub name: Arc<str>,
    /// The server's latest entry in the store.
    pub entry: Mutex<settings::Server>,
    /// Its health as seen by this instance.
    pub health: Arc<Mutex<Health>>,
    /// Its warm-up after its start.
    pub(super) warmup: Mutex<Warmup>,
    /// The connections to it.
    pub pool: Arc<Pool>,
    /// When a server that is about to leave gets its last new statement; `None` if it stays or there
    /// is no bound.
    pub(super) drain_deadline: Mutex<Option<Time>>,
    /// The evacuated zones.
    pub(super) evacuations: Arc<Mutex<Evacuations>>,
}

impl Server {
    /// Returns when the server started, in milliseconds of the wall clock.
    pub fn born(&self) -> u64 {
        lock(&self.entry).born
    }

    /// Returns whether the server is about to leave.
    pub fn is_draining(&self) -> bool {
        lock(&self.entry).is_draining
    }

    /// Returns whether its zone is evacuated, so that it gets no new statement or transaction.
    pub fn is_evacuated(&self) -> bool {
        lock(&self.evacuations).covers(&self.zone())
    }

    /// Returns whether it gets no new statement or transaction at `now`, as its zone is evacuated or
    /// it has been leaving for too long. It may still lead until another server has its whole log.
    pub fn is_closed(&self, now: Time) -> bool {
        let is_drained = lock(&self.drain_deadline).is_some_and(|deadline| now >= deadline);
        is_drained || self.is_evacuated()
    }

    /// Returns when open transactions at this server are rolled back; `None` if its zone isn't
    /// evacuated.
    pub fn transaction_deadline(&self) -> Option<Time> {
        lock(&self.evacuations).deadline(&self.zone())
    }

    /// Returns when this instance noticed the end of its zone's last evacuation.
    pub(super) fn evacuation_ended(&self) -> Option<Time> {
        lock(&self.evacuations).ended(&self.zone())
    }

    /// Returns its availability zone.
    pub fn zone(&self) -> Arc<str> {
        Arc::clone(&lock(&self.entry).zone)
    }
}
