//! Follows the settings.

use std::sync::Arc;
use std::time::Duration;

use store::Batch;
use store::Change;

use crate::node::Node;
use crate::node::lock;
use crate::settings::Revision;
use crate::task::follower::Follower;

/// How long the store holds a question for changes. Each answer confirms that the keys are in
/// force, so it lies well below their grace. It is longer than the second for which a store may
/// keep changes back before it forgets its history, so that no answer falls into that second.
const WAIT: Duration = Duration::from_millis(1_300);

/// Follows the settings until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut follower = Follower::open(&node.parts.revisions, "settings");
    let mut wait = WAIT;
    loop {
        let begun = node.now();
        let step = tokio::select! {
            step = follower.next(wait) => step,
            // A caller was refused for it, so the question is asked anew and answered at once.
            () = node.is_unsure.notified(), if wait > Duration::ZERO => {
                wait = Duration::ZERO;
                continue;
            }
        };
        wait = WAIT;
        if let Some(step) = step {
            take(&node, step.batch);
            let number = node.revision().number;
            lock(&node.keyring).on_current(begun, number);
            lock(&node.rotation).on_confirmed(begun);
        }
    }
}

fn take(node: &Node, batch: Batch<Revision>) {
    for Change { name, value } in batch.changes {
        match value {
            Some(revision) => node.apply(revision),
            None => log::error!("event=settings-unreadable row={name}"),
        }
    }
}
