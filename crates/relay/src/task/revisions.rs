//! Follows the settings.

use std::sync::Arc;
use std::time::Duration;

use store::Batch;
use store::Change;
use store::Followed;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::node::Node;
use crate::node::lock;
use crate::settings::Revision;

/// How long the store holds a question for changes. Each answer confirms that the keys are in
/// force, so it lies well below their grace. It is longer than the second for which a store may
/// keep changes back before it forgets its history, so that no answer falls into that second.
const WAIT: Duration = Duration::from_millis(1_300);
/// Beyond the wait, how long an answer may take before the connection counts as dead.
const PATIENCE: Duration = Duration::from_millis(700);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(150);

/// Follows the settings until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut version = None;
    let mut is_lost = false;
    loop {
        let begun = node.now();
        let step = match version {
            None => timeout(PATIENCE, node.parts.revisions.read())
                .await
                .map(|read| read.map(Followed::Batch)),
            Some(after) => {
                // After an outage the answer is wanted at once.
                let wait = if is_lost { Duration::ZERO } else { WAIT };
                timeout(wait + PATIENCE, node.parts.revisions.follow(after, wait)).await
            }
        };
        let followed = match step {
            Ok(Ok(followed)) => followed,
            failed => {
                let why = match failed {
                    Ok(Err(error)) => error.to_string(),
                    _ => "no answer in time".to_owned(),
                };
                if !is_lost {
                    log::warn!("event=store-lost what=settings why=\"{why}\"");
                }
                is_lost = true;
                sleep(PAUSE).await;
                continue;
            }
        };
        if is_lost {
            log::info!("event=store-regained what=settings");
            is_lost = false;
        }
        match followed {
            Followed::HistoryLost => {
                log::info!("event=history-lost what=settings");
                version = None;
            }
            Followed::Batch(batch) => {
                version = Some(take(&node, batch));
                let number = node.revision().number;
                lock(&node.keyring).on_current(begun, number);
                lock(&node.rotation).on_confirmed(begun);
            }
        }
    }
}

fn take(node: &Node, batch: Batch<Revision>) -> u64 {
    for Change { name, value } in batch.changes {
        match value {
            Some(revision) => node.apply(revision),
            None => log::error!("event=settings-unreadable row={name}"),
        }
    }
    batch.version
}
