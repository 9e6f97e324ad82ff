//! Follows rows of the store across outages and lost history.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use store::Batch;
use store::Delta;
use store::Progress;
use store::Watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// How long no part of a reply may arrive, beyond the long-poll wait, before the connection counts
/// as dead. The whole reply may take longer: its size and the link decide.
const STALL_LIMIT: Duration = Duration::from_millis(700);
/// Pause after the first failed call; it doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Maximum pause after a failed call in a small fleet.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(300);
/// Maximum pause per instance of a large fleet, in which the calls to a store that refuses them add up
/// and others tell when it is back.
const RETRY_PAUSE_PER_INSTANCE: Duration = Duration::from_millis(16);
/// Limit of the maximum pause.
const RETRY_PAUSE_LIMIT: Duration = Duration::from_millis(1_200);
/// Doublings of `RETRY_PAUSE` that reach `RETRY_PAUSE_LIMIT`.
const RETRY_DOUBLINGS_MAX: u32 = 3;

/// Follows rows of one kind.
pub struct Follower<T> {
    source: Arc<dyn Watch<T>>,
    /// The kind of rows, for the log.
    kind: &'static str,
    /// The version to continue from; `None` if all rows must be read.
    version: Option<u64>,
    /// Consecutive calls that failed.
    failures: u32,
    /// Maximum pause after a failed call.
    pause_max: Duration,
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
            failures: 0,
            pause_max: RETRY_PAUSE_MAX,
        }
    }

    /// Returns whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Adapts the pause after failed calls to the number of instances.
    pub fn set_fleet_size(&mut self, instances: usize) {
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        let pause = RETRY_PAUSE_PER_INSTANCE.saturating_mul(instances);
        self.pause_max = pause.clamp(RETRY_PAUSE_MAX, RETRY_PAUSE_LIMIT);
    }

    /// Makes the next call read all rows.
    pub fn restart(&mut self) {
        self.version = None;
    }

    /// Returns the version up to which the rows are known; 0 if all must be read.
    pub fn version(&self) -> u64 {
        self.version.unwrap_or_default()
    }

    /// Makes the next call continue from `version`, up to which the rows are known.
    pub fn resume_at(&mut self, version: u64) {
        self.version = Some(version);
    }

    /// Waits up to about `wait` for rows, and longer while their reply arrives. Returns `None` if the
    /// call failed or all rows must be read again, which the next call does.
    pub async fn next(&mut self, wait: Duration, progress: &Progress) -> Option<Update<T>> {
        let begun = Instant::now();
        let called = match self.version {
            None => {
                let call = self.source.read(progress);
                let read = until_stalled(Duration::ZERO, progress, call).await;
                read.map(|read| read.map(Delta::Batch))
            }
            Some(after) => {
                // After an outage the store must reply without waiting for changes.
                let wait = if self.is_failing() {
                    Duration::ZERO
                } else {
                    wait
                };
                let call = self.source.follow(after, wait, progress);
                until_stalled(wait, progress, call).await
            }
        };
        match called {
            Some(Ok(Delta::Batch(batch))) => {
                let is_recovery = std::mem::take(&mut self.failures) > 0;
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
            Some(Ok(Delta::Compacted)) => {
                log::info!("event=history-lost what={}", self.kind);
                self.version = None;
                None
            }
            failed => {
                let why = match failed {
                    Some(Err(error)) => error.to_string(),
                    _ => "no answer in time".to_owned(),
                };
                let level = if self.is_failing() {
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
                let pause = RETRY_PAUSE.saturating_mul(1 << self.failures.min(RETRY_DOUBLINGS_MAX));
                self.failures = self.failures.saturating_add(1);
                sleep(pause.min(self.pause_max)).await;
                None
            }
        }
    }
}

/// Runs a call until it ends; `None` once no part of its reply has arrived for `STALL_LIMIT`, which
/// at first counts from the end of `wait`.
async fn until_stalled<R>(
    wait: Duration,
    progress: &Progress,
    call: impl Future<Output = R>,
) -> Option<R> {
    let mut call = pin!(call);
    let mut deadline = Instant::now() + wait + STALL_LIMIT;
    loop {
        tokio::select! {
            // After a pause of the whole process, what has arrived counts before the deadline.
            biased;
            reply = &mut call => return Some(reply),
            () = progress.moved() => deadline = deadline.max(Instant::now() + STALL_LIMIT),
            () = sleep_until(deadline) => return None,
        }
    }
}
