//! Keeps the settings in force up to date with the table, and pushes new revisions to peers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use clock::Time;
use membership::Upstream;
use rand::Rng;
use settings::Archive;
use settings::Held;
use settings::Offer;
use settings::Snapshot;
use settings::Source;
use settings::Store;
use timeline::Kind;
use timeline::event;
use tokio::time::sleep;

use super::call;
use super::keys;
use super::limiter;
use crate::node::Node;
use crate::node::lock;
use crate::wire::Reply;
use crate::wire::Request;

/// The period of reads of the head revision.
const HEAD_READ_PERIOD_MS: u64 = 250;

/// The maximum wait for a peer's reply.
const PEER_TIMEOUT: Duration = Duration::from_millis(250);

/// The maximum age of the confirmation at a peer from which settings are followed.
const HEAD_AGE_MAX: Span = Span::from_millis(1_000);

/// The key by which the instances that save the settings are selected.
const SAVE_KEY: &str = "settings/saved";

/// The period of checks whether the saved object is behind the settings in force.
const SAVE_PERIOD: Span = Span::from_millis(2_000);

/// Follows the head revision until the process ends.
pub async fn run(node: Arc<Node>) {
    let store = Store::open(Arc::clone(&node.table));
    let mut saved = Time::ZERO;
    loop {
        load_first(&node, &store).await;
        if node.held().is_some() {
            follow(&node, &store).await;
        }
        if node.now() >= saved + SAVE_PERIOD {
            saved = node.now();
            save(&node).await;
        }
        sleep(pause(&node)).await;
    }
}

/// Offers a snapshot to the settings holder; if it is applied, activates it and pushes it to peers.
pub fn accept_snapshot(
    node: &Arc<Node>,
    snapshot: &Snapshot,
    source: Source,
    origin: &str,
) -> Offer {
    let now = node.now();
    let (offer, held) = {
        let mut holder = lock(&node.holder);
        let offer = holder.offer(now, snapshot, source);
        (offer, holder.held().cloned())
    };
    match offer {
        Offer::Applied => {
            lock(&node.start).on_settings(source);
            if let Some(held) = held {
                activate(node, held);
            }
            publish(node, snapshot, origin);
        }
        Offer::Corrupt => {
            let refused = event(Kind::Settings, "refused-snapshot")
                .with("source", source)
                .with("revision", snapshot.revision);
            node.ring.record(refused);
        }
        Offer::Same | Offer::Older | Offer::Gap => {}
    }
    offer
}

/// Puts a revision that the holder has applied in force in all parts of this process.
pub fn activate(node: &Arc<Node>, held: Held) {
    let held = Arc::new(held);
    let applied = event(Kind::Settings, "in-force")
        .with("revision", held.snapshot.revision)
        .with("change", &held.snapshot.change)
        .with("source", held.source);
    node.ring.record(applied);
    node.settings.send_if_modified(|slot| {
        let is_later = slot
            .as_ref()
            .is_none_or(|other| other.snapshot.revision < held.snapshot.revision);
        if is_later {
            *slot = Some(Arc::clone(&held));
        }
        is_later
    });
    let lease_ms = held.tree.resolve_root().lease_ms;
    lock(&node.renewer).set_lease_ms(lease_ms);
    keys::apply(node, &held);
    limiter::apply(node, &held);
    crate::group::apply(node);
}

/// Pushes a revision to the peers to which this instance forwards it.
pub fn publish(node: &Arc<Node>, snapshot: &Snapshot, origin: &str) {
    let now = node.now();
    let addresses: Vec<Arc<str>> = {
        let members = lock(&node.members);
        let targets = members.push_targets(now, snapshot.revision, origin);
        targets
            .iter()
            .filter_map(|name| members.get(name))
            .map(|member| node.options.reach(&member.address))
            .collect()
    };
    let request = Arc::new(Request::Push {
        origin: Arc::from(origin),
        snapshot: snapshot.clone(),
    });
    for address in addresses {
        let node = Arc::clone(node);
        let request = Arc::clone(&request);
        tokio::spawn(async move { call(&node, &address, &request, PEER_TIMEOUT).await });
    }
}

/// Looks for the first settings in the sources that are due at this point of the startup.
async fn load_first(node: &Arc<Node>, store: &Store) {
    let jitter = rand::rng().random_range(0..1_000);
    let sources = lock(&node.start).ask(node.now(), jitter);
    for source in sources {
        match source {
            Source::Peer => start_from_peers(node).await,
            Source::Objects => start_from_objects(node).await,
            Source::Table => follow_table(node, store).await,
        }
    }
}

async fn start_from_peers(node: &Arc<Node>) {
    if let Ok(machines) = node.roster.machines().await {
        lock(&node.members).on_roster(&machines);
    }
    let mut seeds = lock(&node.members).seeds(node.now());
    seeds.extend(node.options.join.iter().cloned());
    for address in seeds {
        let address = node.options.reach(&address);
        let reply = call(node, &address, &Request::Snapshot, PEER_TIMEOUT).await;
        if let Some(Reply::Snapshot(Some(snapshot))) = reply {
            accept_snapshot(node, &snapshot, Source::Peer, "");
            return;
        }
    }
}

async fn start_from_objects(node: &Arc<Node>) {
    let found = Archive::open(Arc::clone(&node.objects)).load().await;
    for (object, why) in found.faults {
        let skipped = event(Kind::Settings, "skipped-snapshot")
            .with("object", object)
            .with("why", why);
        node.ring.record(skipped);
    }
    if let Some(snapshot) = found.latest {
        accept_snapshot(node, &snapshot, Source::Objects, "");
    }
}

/// Returns how long to wait before the next round.
fn pause(node: &Arc<Node>) -> Duration {
    let due = lock(&node.start).due();
    let jitter = rand::rng().random_range(0..HEAD_READ_PERIOD_MS / 5);
    let regular = Span::from_millis(HEAD_READ_PERIOD_MS + jitter);
    let until_due = due.since(node.now()).max(Span::from_millis(10));
    regular.min(until_due).into()
}

async fn follow(node: &Arc<Node>, store: &Store) {
    let mut failed = BTreeSet::new();
    loop {
        let source = lock(&node.members).head_upstream(node.now(), &failed);
        let Upstream::Peer(name) = source else {
            break;
        };
        if follow_peer(node, &name).await {
            return;
        }
        failed.insert(name);
    }
    follow_table(node, store).await;
}

/// Follows a peer's head revision; returns false if another source must be read instead.
async fn follow_peer(node: &Arc<Node>, name: &str) -> bool {
    let member = lock(&node.members)
        .get(name)
        .map(|member| Arc::clone(&member.address));
    let Some(address) = member else { return false };
    let address = node.options.reach(&address);
    let begun = node.now();
    let Some(Reply::Head(head)) = call(node, &address, &Request::Head, PEER_TIMEOUT).await else {
        return false;
    };
    let Some(age) = head.confirmed_age_us else {
        return false;
    };
    if head.revision > lock(&node.holder).revision() {
        let reply = call(node, &address, &Request::Snapshot, PEER_TIMEOUT).await;
        if let Some(Reply::Snapshot(Some(snapshot))) = reply {
            accept_snapshot(node, &snapshot, Source::Peer, "");
        }
    }
    confirm(
        node,
        begun - Span::from_micros(age),
        head.revision,
        &head.hash,
    );
    // A peer that has itself lost the table is not followed.
    Span::from_micros(age) <= HEAD_AGE_MAX
}

async fn follow_table(node: &Arc<Node>, store: &Store) {
    let begun = node.now();
    let head = match store.head().await {
        Ok(head) => head,
        Err(error) => {
            log::debug!("event=settings-head-read-failed error={error:?}");
            return;
        }
    };
    let held = node.held();
    let revision = held.as_ref().map_or(0, |held| held.snapshot.revision);
    if head.revision < revision {
        let Some(held) = held else { return };
        restore(node, store, &held).await;
        return;
    }
    if held.is_none() || head.revision > revision {
        match store.snapshot().await {
            Ok(snapshot) => {
                accept_snapshot(node, &snapshot, Source::Table, "");
            }
            Err(error) => log::warn!("event=settings-read-failed error={error:?}"),
        }
    }
    confirm(node, begun, head.revision, &head.hash);
}

/// Writes the settings in force back to a table that was restored from an older state.
async fn restore(node: &Arc<Node>, store: &Store, held: &Held) {
    match store.restore(&held.snapshot).await {
        Ok(true) => {
            let restored =
                event(Kind::Settings, "restored-table").with("revision", held.snapshot.revision);
            node.ring.record(restored);
        }
        Ok(false) => {}
        Err(error) => log::warn!("event=settings-restore-failed error={error:?}"),
    }
}

fn confirm(node: &Arc<Node>, begun: Time, revision: u64, hash: &str) {
    let offer = lock(&node.holder).confirm(begun, revision, hash);
    if offer == Offer::Same {
        lock(&node.start).on_confirmed();
        lock(&node.keyring).on_confirmed(begun, revision);
    }
}

/// Saves the settings in force to the object store, so that instances can start without the table.
async fn save(node: &Arc<Node>) {
    let is_saver = lock(&node.members).is_poller(node.now(), SAVE_KEY);
    let Some(held) = node.held().filter(|_| is_saver) else {
        return;
    };
    let archive = Archive::open(Arc::clone(&node.objects));
    if let Err(error) = archive.save(&held.snapshot).await {
        log::warn!("event=settings-save-failed error={error:?}");
    }
}
