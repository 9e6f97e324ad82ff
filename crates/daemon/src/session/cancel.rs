//! Cancelling a running statement.

use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use endpoint::Canceller;

use crate::node::lock;

/// Where a session leaves the means to cancel its running statement.
#[derive(Default)]
pub(super) struct Slot {
    running: Mutex<Option<Arc<dyn Canceller>>>,
}

impl Slot {
    /// Sets what cancels the statement that now runs.
    pub(super) fn set(&self, canceller: Arc<dyn Canceller>) {
        *lock(&self.running) = Some(canceller);
    }

    /// Takes note that nothing runs.
    pub(super) fn clear(&self) {
        *lock(&self.running) = None;
    }
}

#[async_trait]
impl front::Cancel for Slot {
    async fn cancel(&self) {
        let running = lock(&self.running).clone();
        if let Some(canceller) = running {
            canceller.cancel().await;
        }
    }
}
