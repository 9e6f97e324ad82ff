//! A permit for one connection.

use std::sync::Arc;

use clock::Time;

use crate::pool::Pool;

/// A permit for one connection to a server; dropping it releases the permit.
pub struct Permit {
    pool: Arc<Pool>,
    /// The account that uses the connection or for which it is being opened.
    busy_for: Option<Arc<str>>,
    /// Since when it does.
    busy_since: Time,
}

impl Permit {
    /// Creates a permit that the queue has already counted.
    pub(super) fn new(pool: &Arc<Pool>) -> Self {
        Self {
            pool: Arc::clone(pool),
            busy_for: None,
            busy_since: Time::ZERO,
        }
    }

    /// Records that the pool already counts the connection as in use by an account.
    pub(super) fn mark_busy(&mut self, account: &Arc<str>) {
        self.busy_for = Some(Arc::clone(account));
        self.busy_since = self.pool.clock.now();
    }

    /// Marks the connection as in use by an account.
    pub(super) fn set_busy(&mut self, account: &Arc<str>) {
        self.set_idle();
        self.pool.on_busy(account);
        self.mark_busy(account);
    }

    /// Marks the connection as idle.
    pub(super) fn set_idle(&mut self) {
        if let Some(account) = self.busy_for.take() {
            self.pool.on_free(&account, self.busy_since);
        }
    }

    /// Returns the pool.
    pub(super) fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.set_idle();
        self.pool.release_permit();
    }
}
