//! Background tasks that panic.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use relay::task::background;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Panics in its first two runs and then lasts.
async fn run(runs: Arc<AtomicU32>) {
    let run = runs.fetch_add(1, Ordering::Relaxed);
    assert!(run >= 2, "an unexpected input");
    std::future::pending().await
}

#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again() {
    let runs = Arc::default();
    let mut tasks = JoinSet::new();
    background::spawn(&mut tasks, "test", &runs, run);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(runs.load(Ordering::Relaxed), 3);
    assert_eq!(tasks.len(), 1, "the task still runs");
}
