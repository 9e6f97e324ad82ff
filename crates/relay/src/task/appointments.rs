//! Follows the groups' appointed leaders and keeps the leader leases.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Time;
use store::Row;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::failover::Lease;
use crate::group::Group;
use crate::node::Node;
use crate::node::lock;
use crate::peers::Topic;
use crate::task::confirmation;

/// How often the store is read. Each read extends the leader leases.
const READ_PERIOD: Duration = Duration::from_millis(700);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Maximum wait for the store.
const READ_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum wait for another instance's response, which comes after its next read.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Minimum time between two queries.
const QUERY_PERIOD_MIN: Duration = Duration::from_millis(400);

/// Follows the appointments until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut known = None;
    loop {
        let poller = confirmation::choose_poller(&node, Topic::Leaders);
        // Another instance confirms only what this one has read of a group.
        known = known.filter(|_| !has_unread_group(&node));
        known = match (known, poller) {
            (Some(version), Some(poller)) => query_peer(&node, poller, version).await,
            _ => read_store(&node, known).await,
        };
    }
}

/// Returns whether the settings brought a group since the rows were read.
fn has_unread_group(node: &Node) -> bool {
    let groups = node.groups();
    groups.iter().any(|group| !group.has_read_appointment())
}

/// Reads the rows, after a pause unless they are unknown; returns their version.
///
/// If the call fails, another instance may still confirm the `known` version; `None` if it doesn't.
async fn read_store(node: &Arc<Node>, known: Option<u64>) -> Option<u64> {
    if known.is_some() {
        // A new leader is used only once its row has been read.
        let _elapsed = timeout(READ_PERIOD, node.leader_appointed.notified()).await;
    }
    let begun = node.now();
    let list = node.dependencies.table.list(Lease::PREFIX);
    let rows = match timeout(READ_TIMEOUT, list).await {
        Ok(Ok(rows)) => rows,
        failed => {
            log::debug!("event=appointments-unread why=\"{failed:?}\"");
            if let (Some(version), Some(poller)) = (
                known,
                confirmation::choose_other_poller(node, Topic::Leaders),
            ) {
                return query_peer(node, poller, version).await;
            }
            sleep(RETRY_PAUSE).await;
            return None;
        }
    };
    let version = rows.iter().map(|row| row.version).max().unwrap_or_default();
    apply(node, begun, &rows).await;
    confirmation::respond(node, Topic::Leaders, begun, version).await;
    Some(version)
}

/// Queries another instance whether `version` is still the newest; returns it if so.
async fn query_peer(node: &Arc<Node>, address: SocketAddr, version: u64) -> Option<u64> {
    let begun = Instant::now();
    let answer = tokio::select! {
        answer = confirmation::query(node, address, Topic::Leaders, PEER_TIMEOUT) => answer?,
        () = node.leader_appointed.notified() => return None,
    };
    if answer.revision != version {
        return None;
    }
    let registration = lock(&node.limiter).registration();
    for group in node.groups() {
        group.change_leader_lease(|lease| {
            lease.set_registration(registration);
            lease.on_confirmed(answer.at);
        });
    }
    let pause = QUERY_PERIOD_MIN.saturating_sub(begun.elapsed());
    match timeout(pause, node.leader_appointed.notified()).await {
        Ok(()) => None,
        Err(_) => Some(version),
    }
}

async fn apply(node: &Node, begun: Time, rows: &[Row]) {
    let rows: BTreeMap<&str, &Row> = rows.iter().map(|row| (&*row.key, row)).collect();
    let registration = lock(&node.limiter).registration();
    for group in node.groups() {
        let row = rows.get(&*Lease::key(&group.name)).copied();
        if let Some(row) = row {
            node.leases.on_row(node.now(), &group.name, row);
        }
        let lease = row.and_then(Lease::parse);
        let token = lease.as_ref().map_or(0, |lease| lease.token);
        if token < node.leases.newest_token(&group.name) {
            rewrite(node, &group, row).await;
            continue;
        }
        if let Some(lease) = &lease {
            node.leases.on_lease(&group.name, lease);
            if let Some(order) = &lease.unanswered {
                let tracker = &node.leases.unanswered;
                tracker.on_order(node.now(), &group.name, order);
            }
        }
        group.change_leader_lease(|lease| lease.set_registration(registration));
        group.on_appointment(begun, lease.map(|lease| lease.appointment()));
    }
}

/// Writes the newest known lease of a group again after the store returned from a copy without it.
async fn rewrite(node: &Node, group: &Group, row: Option<&Row>) {
    let Some(lease) = node.leases.newest(&group.name) else {
        return;
    };
    let (condition, write) = lease.compare_and_set(&group.name, row);
    let commit = node.dependencies.table.commit(vec![condition], vec![write]);
    let result = timeout(READ_TIMEOUT, commit).await;
    log::warn!(
        "event=lease-rewritten group={} token={} result=\"{result:?}\"",
        group.name,
        lease.token
    );
}
