//! Looks whether primaries are to be replaced and whether servers have left.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::Time;
use tokio::time::sleep;

use crate::failover::Sight;
use crate::failover::command;
use crate::failover::replacement::Replacement;
use crate::group::Group;
use crate::message::Statement;
use crate::node::Node;
use crate::node::lock;

/// The period of looks whether a server that said it leaves has left.
const DEPARTED_EVERY: Duration = Duration::from_millis(1_000);

/// Looks whether the primary is to be replaced, and starts that.
pub async fn look(node: &Arc<Node>, group: &Arc<Group>) {
    let now = node.now();
    let is_cut_off = !lock(&node.rotation).is_ready();
    let is_leaving = node.is_leaving.load(Ordering::Relaxed);
    if is_cut_off || is_leaving || group.servers().is_empty() {
        return;
    }
    let sight = sight(now, group);
    let Some(reason) = lock(&group.suspicion).step(now, &sight) else {
        return;
    };
    if group.is_in_failover.swap(true, Ordering::Relaxed) {
        return;
    }
    let node = Arc::clone(node);
    let group = Arc::clone(group);
    tokio::spawn(async move {
        Replacement::of(&node, &group, reason).run().await;
        lock(&group.suspicion).on_tried(node.now());
        group.is_in_failover.store(false, Ordering::Relaxed);
    });
}

/// Finds out which servers that said they leave have left, until the process ends.
pub async fn watch_departed(node: Arc<Node>, group: Arc<Group>) {
    loop {
        sleep(DEPARTED_EVERY).await;
        for (name, entry) in group.departed() {
            let answer = command::apart(&node, &group, &name, &entry, &Statement::Status).await;
            if answer.is_err_and(|error| command::shows_absence(&error)) {
                group.on_left(&name);
            }
        }
    }
}

fn sight(now: Time, group: &Group) -> Sight {
    let proven = lock(&group.lead).proven();
    let Some(leader) = group.leader() else {
        return Sight::default();
    };
    let vitals = lock(&leader.vitals);
    Sight {
        is_known: true,
        is_leaving: leader.is_draining(),
        proven,
        heard: vitals.heard,
        is_stuck: vitals.is_stuck(now),
    }
}
