//! Follows the entries that servers register.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use clock::Time;
use store::Batch;
use tokio::time::sleep;

use crate::node::Node;
use crate::settings::Server;
use crate::task::follower::Follower;

/// How long the store holds a call that waits for changes. A dead connection is noticed only after
/// this time, which leaves over a second of the 7 s within which a leaving server must fall out of
/// use.
const LONG_POLL_WAIT: Duration = Duration::from_secs(5);
/// Pause after a batch, per other instance, so that consecutive changes arrive in one batch: each
/// batch costs the store one reply per instance.
const BATCH_PAUSE_PER_INSTANCE: Duration = Duration::from_millis(12);
/// Maximum pause after a batch; it uses up part of the 7 s given for a leaving server.
const BATCH_PAUSE_MAX: Duration = Duration::from_secs(1);
/// How long a server that disappeared unannounced is still used if it replies: it may only be cut
/// off from the store. This is well below the 7 s after which a server that is gone must get no
/// more requests.
const ABSENCE_GRACE: Span = Span::from_secs(4);
/// Entries that expired during a store outage are back within 2 s of its end.
const STORE_RECOVERY_GRACE: Span = Span::from_millis(2_300);

/// Follows the entries until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut follower = Follower::open(&node.dependencies.servers, "servers");
    let mut absences = Absences::default();
    loop {
        let expiry = absences.next_expiry(node.now());
        let wait = expiry.map_or(LONG_POLL_WAIT, |expiry| expiry.min(LONG_POLL_WAIT));
        if let Some(update) = follower.next(wait).await {
            if update.is_recovery {
                absences.on_store_recovered(node.now());
            }
            let has_changes = !update.batch.changes.is_empty();
            apply(&node, &mut absences, update.batch, update.is_snapshot);
            if has_changes {
                let others = u32::try_from(node.peer_addresses().len()).unwrap_or(u32::MAX);
                sleep(
                    BATCH_PAUSE_PER_INSTANCE
                        .saturating_mul(others)
                        .min(BATCH_PAUSE_MAX),
                )
                .await;
            }
        }
        for name in absences.expire(node.now()) {
            node.on_entry(&name, None);
        }
    }
}

fn apply(node: &Node, absences: &mut Absences, batch: Batch<Server>, is_snapshot: bool) {
    if is_snapshot {
        for name in node.entry_names() {
            if !batch.changes.iter().any(|change| change.name == name) {
                absences.on_missing(node.now(), &name, is_draining(node, &name));
            }
        }
    }
    for change in batch.changes {
        match change.value {
            Some(entry) => {
                absences.on_present(&change.name);
                node.on_entry(&change.name, Some(entry));
            }
            None => {
                let is_planned = is_draining(node, &change.name);
                absences.on_missing(node.now(), &change.name, is_planned);
            }
        }
    }
}

fn is_draining(node: &Node, name: &str) -> bool {
    node.groups()
        .iter()
        .filter_map(|group| group.server(name))
        .any(|server| server.is_draining())
}

/// Missing entries and the times at which their servers count as gone.
#[derive(Debug, Default)]
pub struct Absences {
    /// Until then, entries that expired in a store outage may come back.
    grace_until: Time,
    /// When each missing entry counts as gone.
    missing: BTreeMap<Arc<str>, Time>,
}

impl Absences {
    /// Records that the store replies again after an outage.
    pub fn on_store_recovered(&mut self, now: Time) {
        self.grace_until = now + STORE_RECOVERY_GRACE;
    }

    /// Records a missing entry; `is_planned` says whether its server had announced that it leaves.
    pub fn on_missing(&mut self, now: Time, name: &Arc<str>, is_planned: bool) {
        let grace = if is_planned {
            Span::ZERO
        } else {
            ABSENCE_GRACE
        };
        let until = (now + grace).max(self.grace_until);
        self.missing.entry(Arc::clone(name)).or_insert(until);
    }

    /// Records that an entry is present.
    pub fn on_present(&mut self, name: &str) {
        self.missing.remove(name);
    }

    /// Removes and returns the entries that count as gone by now.
    pub fn expire(&mut self, now: Time) -> Vec<Arc<str>> {
        let gone: Vec<Arc<str>> = self
            .missing
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in &gone {
            self.missing.remove(name);
        }
        gone
    }

    /// Returns the time until the next missing entry counts as gone; `None` if none is missing.
    pub fn next_expiry(&self, now: Time) -> Option<Duration> {
        let until = self.missing.values().min()?;
        Some(until.since(now).into())
    }
}
