//! Follows the entries that servers register.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use clock::Time;
use store::Batch;
use store::Change;
use store::Progress;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::node::Node;
use crate::node::lock;
use crate::peers;
use crate::peers::Payload;
use crate::peers::Topic;
use crate::settings::Server;
use crate::task::confirmation;
use crate::task::follower::Follower;

/// How long the store holds a call that waits for changes. A dead connection is noticed only after
/// this time, and then an instance that relies on the caller only after `PEER_TIMEOUT`; both leave
/// over a second of the 7 s within which a leaving server must fall out of use.
const LONG_POLL_WAIT: Duration = Duration::from_secs(2);
/// Maximum wait for another instance's response: `LONG_POLL_WAIT` plus time for a slow store.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_700);
/// Pause before an instance reads changed entries that another instance has polled but not passed on.
const CHANGE_PAUSE: Duration = Duration::from_millis(500);
/// Maximum wait for the entries that another instance passes on: ten round trips between zones.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(100);
/// Requests for entries before the store is read instead; one of them may get lost.
const TRANSFERS_MAX: u32 = 2;
/// Pause after a batch, per other instance, so that consecutive changes arrive in one batch: each
/// batch costs datagrams to all instances.
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
///
/// Few instances poll the store; the others ask one of these whether the entries have changed, and
/// for the changed ones. They read the store only if they get no answer or one that does not fit.
pub async fn run(node: Arc<Node>) {
    let mut entries = Entries {
        follower: Follower::open(&node.dependencies.servers, "servers"),
        absences: Absences::default(),
        present: BTreeMap::new(),
        node,
    };
    let mut is_known = false;
    loop {
        let poller = confirmation::choose_poller(&entries.node, Topic::Servers);
        is_known = match poller.filter(|_| is_known) {
            Some(address) => entries.query_peer(address).await,
            None => entries.poll_store().await || entries.query_other().await,
        };
        entries.expire();
    }
}

/// The entries as last read from the store.
struct Entries {
    node: Arc<Node>,
    follower: Follower<Server>,
    absences: Absences,
    /// The entries in the store, by server; a missing one stays in use for a while.
    present: BTreeMap<Arc<str>, Server>,
}

impl Entries {
    /// Polls the store for changes; returns whether it replied.
    async fn poll_store(&mut self) -> bool {
        let begun = self.node.now();
        let wait = self.limit_to_expiry(LONG_POLL_WAIT);
        self.follower.set_fleet_size(self.node.fleet_size());
        let Some(update) = self.follower.next(wait, &Progress::default()).await else {
            return false;
        };
        if update.is_recovery {
            self.absences.on_store_recovered(self.node.now());
        }
        let has_changes = !update.batch.changes.is_empty();
        self.apply(update.batch, update.is_snapshot);
        lock(&self.node.catalog).record(self.follower.version(), &self.present);
        confirmation::respond(&self.node, Topic::Servers, begun, self.digest()).await;
        if has_changes {
            let others = u32::try_from(self.node.peer_addresses().len()).unwrap_or(u32::MAX);
            let pause = BATCH_PAUSE_PER_INSTANCE.saturating_mul(others);
            sleep(pause.min(BATCH_PAUSE_MAX)).await;
        }
        true
    }

    /// After the store has not replied to this instance, asks one that may reach it; returns whether
    /// the entries are known then.
    async fn query_other(&mut self) -> bool {
        let other = confirmation::choose_other_poller(&self.node, Topic::Servers);
        match other.filter(|_| self.follower.is_failing() && !self.present.is_empty()) {
            Some(address) => self.query_peer(address).await,
            None => false,
        }
    }

    /// Queries another instance whether the entries have changed and applies the changes; returns
    /// whether the entries are known then.
    async fn query_peer(&mut self, address: SocketAddr) -> bool {
        let wait = self.limit_to_expiry(PEER_TIMEOUT);
        let answer = confirmation::query(&self.node, address, Topic::Servers, wait).await;
        let is_known = match answer {
            Some(answer) if answer.revision == self.digest() => true,
            Some(_) => self.fetch_changes(address).await,
            // The next query asks again.
            None => wait < PEER_TIMEOUT,
        };
        if !is_known {
            // Servers that start or leave together change their entries one by one.
            sleep(CHANGE_PAUSE).await;
            self.follower.restart();
        }
        is_known
    }

    /// Applies the changes that another instance passes on; returns whether the entries are known
    /// then.
    async fn fetch_changes(&mut self, address: SocketAddr) -> bool {
        for _ in 0..TRANSFERS_MAX {
            let id = lock(&self.node.transfer).request();
            let known = self.digest();
            let payload = Payload::GetEntries { id, known };
            self.node.peers.send(&self.node, address, payload).await;
            let node = Arc::clone(&self.node);
            let received = async {
                loop {
                    if let Some(update) = lock(&node.transfer).take() {
                        return update;
                    }
                    node.transferred.notified().await;
                }
            };
            let Ok(update) = timeout(TRANSFER_TIMEOUT, received).await else {
                continue;
            };
            let version = self.follower.version();
            if update.apply_to(&self.present, version).is_none() {
                break;
            }
            let changes = update.changes.into_iter();
            let batch = Batch {
                changes: changes
                    .map(|(name, value)| Change { name, value })
                    .collect(),
                version: update.version,
            };
            self.follower.resume_at(update.version);
            self.apply(batch, update.is_full);
            return true;
        }
        log::info!("event=entries-not-transferred peer={address}");
        false
    }

    /// Returns `wait`, or the time until the next missing entry counts as gone if that is shorter.
    fn limit_to_expiry(&self, wait: Duration) -> Duration {
        let expiry = self.absences.next_expiry(self.node.now());
        expiry.map_or(wait, |expiry| expiry.min(wait))
    }

    /// Returns a number that is the same at all instances that know the same entries.
    fn digest(&self) -> u64 {
        peers::digest(&self.present)
    }

    fn expire(&mut self) {
        for name in self.absences.expire(self.node.now()) {
            self.node.on_entry(&name, None);
        }
    }

    fn apply(&mut self, batch: Batch<Server>, is_snapshot: bool) {
        let now = self.node.now();
        if is_snapshot {
            self.present.clear();
            for name in self.node.entry_names() {
                if !batch.changes.iter().any(|change| change.name == name) {
                    let is_planned = is_draining(&self.node, &name);
                    self.absences.on_missing(now, &name, is_planned);
                }
            }
        }
        for change in batch.changes {
            if let Some(entry) = change.value {
                self.absences.on_present(&change.name);
                self.node.on_entry(&change.name, Some(entry.clone()));
                // The server may count the rest of its warm-up down; a digest that changes with it would
                // make all instances read the entries again and again.
                let entry = Server {
                    warmup_left_ms: 0,
                    ..entry
                };
                self.present.insert(change.name, entry);
            } else {
                let is_planned = is_draining(&self.node, &change.name);
                self.absences.on_missing(now, &change.name, is_planned);
                self.present.remove(&change.name);
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
