//! How much of a reply has arrived.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;

/// How much of the reply to one call has arrived; the adapter records it while the call runs.
#[derive(Debug, Default)]
pub struct Progress {
    /// Bytes of the body that have arrived.
    received: AtomicU64,
    moved: Notify,
}

impl Progress {
    /// Records that a part of the body arrived.
    pub fn add(&self, bytes: usize) {
        // CAST: a part of a reply is far smaller than 2^64 bytes.
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
        self.moved.notify_one();
    }

    /// Returns how many bytes of the body have arrived.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Waits until a part arrives; one that arrived since the last wait counts.
    pub async fn moved(&self) {
        self.moved.notified().await;
    }
}
