//! Follows rows of the store through outages and lost history.

use std::sync::Arc;
use std::time::Duration;

use store::Batch;
use store::Delta;
use store::Watch;
use tokio::time::sleep;
use tokio::time::timeout;

/// Beyond the wait, how long an answer may take before the connection counts as dead.
const PATIENCE: Duration = Duration::from_millis(700);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(150);

/// Follows rows of one kind.
pub struct Follower<T> {
    source: Arc<dyn Watch<T>>,
    /// The rows' kind, for the log.
    what: &'static str,
    /// From where to follow on; `None` if all rows must be read.
    version: Option<u64>,
    /// Whether the last call failed.
    is_lost: bool,
}

/// Rows that came.
pub struct Step<T> {
    /// The rows.
    pub batch: Batch<T>,
    /// Whether the batch holds all rows, and not only what changed.
    pub is_whole: bool,
    /// Whether the store answers again after an outage.
    pub is_return: bool,
}

impl<T> Follower<T> {
    /// Opens a follower that begins with all rows.
    pub fn open(source: &Arc<dyn Watch<T>>, what: &'static str) -> Self {
        Self {
            source: Arc::clone(source),
            what,
            version: None,
            is_lost: false,
        }
    }

    /// Reads all rows with the next call.
    pub fn restart(&mut self) {
        self.version = None;
    }

    /// Waits for rows, for no longer than about `wait`; `None` if the call failed or all rows must
    /// be read anew, which the next call does.
    pub async fn next(&mut self, wait: Duration) -> Option<Step<T>> {
        let called = match self.version {
            None => timeout(PATIENCE, self.source.read())
                .await
                .map(|read| read.map(Delta::Batch)),
            Some(after) => {
                // After an outage the answer is wanted at once.
                let wait = if self.is_lost { Duration::ZERO } else { wait };
                timeout(wait + PATIENCE, self.source.follow(after, wait)).await
            }
        };
        match called {
            Ok(Ok(Delta::Batch(batch))) => {
                let is_return = std::mem::take(&mut self.is_lost);
                if is_return {
                    log::info!("event=store-regained what={}", self.what);
                }
                let is_whole = self.version.replace(batch.version).is_none();
                Some(Step {
                    batch,
                    is_whole,
                    is_return,
                })
            }
            Ok(Ok(Delta::Compacted)) => {
                log::info!("event=history-lost what={}", self.what);
                self.version = None;
                None
            }
            Ok(Err(error)) => self.on_failure(&error).await,
            Err(_) => self.on_failure(&"no answer in time").await,
        }
    }

    async fn on_failure(&mut self, why: &(dyn std::fmt::Display + Sync)) -> Option<Step<T>> {
        if !self.is_lost {
            log::warn!("event=store-lost what={} why=\"{why}\"", self.what);
        }
        self.is_lost = true;
        sleep(PAUSE).await;
        None
    }
}
