//! Looks whether primaries are to be replaced.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use clock::Time;

use crate::failover::Reason;
use crate::failover::Sight;
use crate::failover::replacement::Replacement;
use crate::group::Group;
use crate::node::Node;
use crate::node::lock;

/// Looks whether the primary is to be replaced, and starts that.
pub async fn look(node: &Arc<Node>, group: &Arc<Group>) {
    let now = node.now();
    let is_cut_off = !lock(&node.readiness).is_ready();
    let is_leaving = node.is_stopping.load(Ordering::Relaxed);
    if is_cut_off || is_leaving || group.servers().is_empty() {
        return;
    }
    let sight = sight(now, group);
    let reason = match lock(&group.suspicion).step(now, &sight) {
        Some(reason) => reason,
        None if sight.is_known && lock(&group.checkup).step(now) => Reason::Unfinished,
        None => return,
    };
    if group.is_in_failover.swap(true, Ordering::Relaxed) {
        return;
    }
    let node = Arc::clone(node);
    let group = Arc::clone(group);
    tokio::spawn(async move {
        let mut replacement = Replacement::of(&node, &group, reason);
        if reason == Reason::Unfinished {
            replacement.finish().await;
        } else {
            replacement.run().await;
            lock(&group.suspicion).on_tried(node.now());
        }
        group.is_in_failover.store(false, Ordering::Relaxed);
    });
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
