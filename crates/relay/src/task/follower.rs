//! Follows rows of the store across outages and lost history.

use std::sync::Arc;
use std::time::Duration;

use store::Batch;
use store::Delta;
use store::Progress;
use store::Watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// How long a reply may take beyond the long-poll wait before the connection counts as dead.
const REPLY_MARGIN: Duration = Duration::from_millis(700);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows rows of one kind.
pub struct Follower<T> {
    source: Arc<dyn Watch<T>>,
    /// The kind of rows, for the log.
    kind: &'static str,
    /// The version to continue from; `None` if all rows must be read.
    version: Option<u64>,
    /// Whether the last call failed.
    is_lost: bool,
}

/// Rows received from the store.
pub struct Update<T> {
    /// The rows.
    pub batch: Batch<T>,
    /// Whether the batch holds all rows rather than only the changed ones.
    pub is_snapshot: bool,
    /// Whether this is the store's first reply after an outage.
    pub is_recovery: bool,
}

impl<T> Follower<T> {
    /// Opens a follower that starts by reading all rows.
    pub fn open(source: &Arc<dyn Watch<T>>, kind: &'static str) -> Self {
        Self {
            source: Arc::clone(source),
            kind,
            version: None,
            is_lost: false,
        }
    }

    /// Makes the next call read all rows.
    pub fn restart(&mut self) {
        self.version = None;
    }

    /// Waits up to about `wait` for rows. Returns `None` if the call failed or all rows must be
    /// read again, which the next call does.
    pub async fn next(&mut self, wait: Duration) -> Option<Update<T>> {
        let begun = Instant::now();
        let progress = Progress::default();
        let called = match self.version {
            None => timeout(REPLY_MARGIN, self.source.read(&progress))
                .await
                .map(|read| read.map(Delta::Batch)),
            Some(after) => {
                // After an outage the store must reply without waiting for changes.
                let wait = if self.is_lost { Duration::ZERO } else { wait };
                timeout(
                    wait + REPLY_MARGIN,
                    self.source.follow(after, wait, &progress),
                )
                .await
            }
        };
        match called {
            Ok(Ok(Delta::Batch(batch))) => {
                let is_recovery = std::mem::take(&mut self.is_lost);
                if is_recovery {
                    log::info!("event=store-regained what={}", self.kind);
                }
                let is_snapshot = self.version.replace(batch.version).is_none();
                Some(Update {
                    batch,
                    is_snapshot,
                    is_recovery,
                })
            }
            Ok(Ok(Delta::Compacted)) => {
                log::info!("event=history-lost what={}", self.kind);
                self.version = None;
                None
            }
            failed => {
                let why = match failed {
                    Ok(Err(error)) => error.to_string(),
                    _ => "no answer in time".to_owned(),
                };
                let level = if self.is_lost {
                    log::Level::Debug
                } else {
                    log::Level::Warn
                };
                log::log!(
                    level,
                    "event=store-lost what={} ms={} bytes={} why=\"{why}\"",
                    self.kind,
                    begun.elapsed().as_millis(),
                    progress.received()
                );
                self.is_lost = true;
                sleep(RETRY_PAUSE).await;
                None
            }
        }
    }
}
