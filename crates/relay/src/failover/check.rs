//! Checks whether a group's primary must be replaced.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use clock::Time;

use crate::failover::Observation;
use crate::failover::Reason;
use crate::failover::replacement::Replacement;
use crate::group::Group;
use crate::node::Node;
use crate::node::lock;

/// Checks whether the primary must be replaced and, if so, starts the replacement in a task.
pub async fn check(node: &Arc<Node>, group: &Arc<Group>) {
    let now = node.now();
    let is_cut_off = !lock(&node.readiness).is_ready();
    let is_leaving = node.is_stopping.load(Ordering::Relaxed);
    if is_cut_off || is_leaving || group.servers().is_empty() {
        return;
    }
    let observation = observe(now, node, group);
    let reason = match lock(&group.detector).step(now, &observation) {
        Some(reason) => reason,
        None if observation.is_known && lock(&group.recheck).step(now) => Reason::Unfinished,
        None => return,
    };
    if reason != Reason::Unfinished && group.is_evacuated() {
        // No server may be promoted.
        return;
    }
    if group.is_in_failover.swap(true, Ordering::Relaxed) {
        return;
    }
    let node = Arc::clone(node);
    let group = Arc::clone(group);
    tokio::spawn(async move {
        let mut replacement = Replacement::open(&node, &group, reason);
        if reason == Reason::Unfinished {
            replacement.finish_abandoned().await;
        } else {
            replacement.run().await;
            lock(&group.detector).on_attempt_ended(node.now());
        }
        group.is_in_failover.store(false, Ordering::Relaxed);
    });
}

fn observe(now: Time, node: &Node, group: &Group) -> Observation {
    let proven_at = lock(&group.leadership).proven_at();
    let Some(leader) = group.leader() else {
        return Observation {
            is_abandoned: node.leases.is_abandoned_by(&group.name, &node.this_run()),
            ..Observation::default()
        };
    };
    let health = lock(&leader.health);
    Observation {
        is_known: true,
        is_abandoned: false,
        is_leaving: leader.is_draining(),
        is_evacuated: leader.is_evacuated() && !group.is_evacuated(),
        proven_at,
        replied_at: health.replied_at,
        is_stuck: health.is_stuck(now),
    }
}
