//! Obtains the leaders' positions from the few instances that probe the leaders.
//!
//! If every instance probed every leader, probes would grow with the product of both, and an
//! instance would need a connection to each leader for nothing but its probes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::node::Node;
use crate::node::lock;
use crate::peers::Payload;
use crate::peers::Topic;
use crate::task::confirmation;

/// How often the positions are queried.
const QUERY_PERIOD: Duration = Duration::from_millis(400);
/// The same while a group's leader is unknown.
const QUERY_PERIOD_LEADERLESS: Duration = Duration::from_millis(80);
/// Maximum wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// Queries without a response after which this instance probes the leaders itself.
const UNANSWERED_MAX: u32 = 2;
/// How long it then does so before it queries again.
const OWN_PROBES_TIME: Duration = Duration::from_millis(1_500);

/// Queries the positions until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut source = None;
    let mut unanswered = 0;
    loop {
        source = source
            .filter(|source| node.has_peer_at(*source))
            .or_else(|| confirmation::choose_poller(&node, Topic::Leaders));
        let is_prober = node.pollers(Topic::Leaders).contains(&node.options.name);
        let Some(address) = source.filter(|_| !is_prober) else {
            node.has_reports.store(false, Ordering::Relaxed);
            sleep(QUERY_PERIOD).await;
            continue;
        };
        let next = Instant::now() + period(&node);
        if query(&node, address).await {
            unanswered = 0;
            node.has_reports.store(true, Ordering::Relaxed);
            sleep_until(next).await;
            continue;
        }
        source = None;
        unanswered += 1;
        if unanswered >= UNANSWERED_MAX {
            unanswered = 0;
            node.has_reports.store(false, Ordering::Relaxed);
            log::info!("event=reports-missing peer={address}");
            sleep(OWN_PROBES_TIME).await;
        }
    }
}

fn period(node: &Node) -> Duration {
    let is_any_leaderless = node
        .groups()
        .iter()
        .any(|group| lock(&group.leadership).server().is_none());
    if is_any_leaderless {
        QUERY_PERIOD_LEADERLESS
    } else {
        QUERY_PERIOD
    }
}

/// Sends a query; returns whether a response arrived.
async fn query(node: &Arc<Node>, address: SocketAddr) -> bool {
    if let Some(counts) = node.server_loads() {
        node.peers
            .send(node, address, Payload::ServerLoads(counts))
            .await;
    }
    let id = lock(&node.reports).query(node.now());
    let load = lock(&node.load).per_second();
    let payload = Payload::GetReports { id, load };
    node.peers.send(node, address, payload).await;
    let answered = async {
        while !lock(&node.reports).is_answered() {
            node.reported.notified().await;
        }
    };
    timeout(RESPONSE_TIMEOUT, answered).await.is_ok()
}
