//! Background tasks that last as long as the process.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

/// Pause before a task that panicked is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Starts a task and restarts it whenever it panics, so that one unexpected input costs the
/// instance no more than what the task was doing.
pub fn spawn<S, F, T>(tasks: &mut JoinSet<()>, name: &'static str, state: &Arc<S>, run: F)
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>) -> T + Send + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    let state = Arc::clone(state);
    tasks.spawn(async move {
        loop {
            // Dropping the set aborts the task.
            let mut current = JoinSet::new();
            current.spawn(run(Arc::clone(&state)));
            match current.join_next().await {
                Some(Err(error)) if error.is_panic() => {
                    log::error!("event=task-panicked task={name} why=\"{error}\"");
                }
                _ => return,
            }
            sleep(RESTART_PAUSE).await;
        }
    });
}
