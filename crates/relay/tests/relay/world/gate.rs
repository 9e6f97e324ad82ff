//! A feed of rows that can turn one instance away.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use store::Batch;
use store::Delta;
use store::Error;
use store::Progress;
use store::Watch;

/// A feed of rows that can turn one instance away.
pub struct Gate<T> {
    feed: Arc<dyn Watch<T>>,
    is_closed: AtomicBool,
    /// The number of calls that were turned away.
    refused: AtomicU64,
}

impl<T> Gate<T> {
    pub fn open(feed: Arc<dyn Watch<T>>) -> Arc<Self> {
        Arc::new(Self {
            feed,
            is_closed: AtomicBool::new(false),
            refused: AtomicU64::new(0),
        })
    }

    /// Turns all further calls away.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    /// Returns the number of calls that were turned away.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    fn check(&self) -> Result<(), Error> {
        if !self.is_closed.load(Ordering::Relaxed) {
            return Ok(());
        }
        self.refused.fetch_add(1, Ordering::Relaxed);
        Err(Error::Refused {
            step: "read",
            peer: "rows".to_owned(),
            why: "busy".to_owned(),
        })
    }
}

#[async_trait]
impl<T: Send + Sync + 'static> Watch<T> for Gate<T> {
    async fn read(&self, progress: &Progress) -> Result<Batch<T>, Error> {
        self.check()?;
        self.feed.read(progress).await
    }

    async fn follow(
        &self,
        after: u64,
        wait: Duration,
        progress: &Progress,
    ) -> Result<Delta<T>, Error> {
        self.check()?;
        self.feed.follow(after, wait, progress).await
    }
}
