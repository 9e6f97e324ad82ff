//! The right to one connection.

use std::sync::Arc;

use crate::pool::Pool;

/// The right to one connection to a server; dropping it frees the place.
pub struct Place {
    pool: Arc<Pool>,
    /// The account whose statements the connection runs, or for whom it is being opened.
    busy_for: Option<Arc<str>>,
}

impl Place {
    /// Wraps a place that was counted already.
    pub(super) fn new(pool: &Arc<Pool>) -> Self {
        Self {
            pool: Arc::clone(pool),
            busy_for: None,
        }
    }

    /// Notes that the pool counts the connection as in use for an account.
    pub(super) fn mark_busy(&mut self, account: &Arc<str>) {
        self.busy_for = Some(Arc::clone(account));
    }

    /// Notes that the connection is in use for an account.
    pub(super) fn set_busy(&mut self, account: &Arc<str>) {
        self.set_idle();
        self.pool.on_busy(account);
        self.mark_busy(account);
    }

    /// Notes that the connection is not in use.
    pub(super) fn set_idle(&mut self) {
        if let Some(account) = self.busy_for.take() {
            self.pool.on_free(&account);
        }
    }

    /// Returns the pool.
    pub(super) fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.set_idle();
        self.pool.leave();
    }
}
