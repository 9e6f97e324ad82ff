//! The right to one connection.

use std::sync::Arc;

use crate::pool::Pool;

/// The right to one connection to a server; dropping it frees the place.
pub struct Place {
    /// `None` once the place was taken back.
    pool: Option<Arc<Pool>>,
}

impl Place {
    /// Wraps a place that was counted already.
    pub(super) fn new(pool: &Arc<Pool>) -> Self {
        Self {
            pool: Some(Arc::clone(pool)),
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
        if let Some(pool) = self.pool.take() {
            pool.leave();
        }
    }
}
