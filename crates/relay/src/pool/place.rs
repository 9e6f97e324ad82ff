//! The right to one connection.

use std::sync::Arc;

use crate::pool::Pool;

/// The right to one connection to a server; dropping it frees the place.
pub struct Place {
    /// `None` once the place was taken back.
    pool: Option<Arc<Pool>>,
    /// The account whose statements the connection runs, or for whom it is being opened.
    busy_for: Option<Arc<str>>,
}

impl Place {
    /// Wraps a place that was counted already.
    pub(super) fn new(pool: &Arc<Pool>) -> Self {
        Self {
            pool: Some(Arc::clone(pool)),
            busy_for: None,
        }
    }

    /// Notes that the connection is in use for an account.
    pub(super) fn set_busy(&mut self, account: &Arc<str>) {
        self.set_idle();
        self.pool().on_busy(account);
        self.busy_for = Some(Arc::clone(account));
    }

    /// Notes that the connection is not in use.
    pub(super) fn set_idle(&mut self) {
        if let Some(account) = self.busy_for.take() {
            self.pool().on_free(&account);
        }
    }

    /// Returns the pool.
    pub(super) fn pool(&self) -> &Arc<Pool> {
        self.pool
            .as_ref()
            .expect("only a dropped place has no pool")
    }

    /// Drops the place without freeing it.
    pub(super) fn forget(mut self) {
        self.pool = None;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.pool.is_some() {
            self.set_idle();
        }
        if let Some(pool) = self.pool.take() {
            pool.leave();
        }
    }
}
