//! Exchanges heartbeats with the peers that this instance monitors.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use super::call;
use super::keys;
use super::responder::on_heartbeat;
use crate::node::Node;
use crate::node::lock;
use crate::wire::Reply;
use crate::wire::Request;

/// The period of heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// The maximum wait for a peer's heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(250);

/// Exchanges heartbeats until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut ticks = interval(HEARTBEAT_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        exchange(&node).await;
        keys::detect_outage(&node);
    }
}

async fn exchange(node: &Arc<Node>) {
    let now = node.now();
    let mut addresses: Vec<Arc<str>> = {
        let members = lock(&node.members);
        let watched = members.watched(now);
        watched
            .iter()
            .filter_map(|name| members.get(name))
            .map(|member| node.options.reach(&member.address))
            .collect()
    };
    if addresses.is_empty() {
        addresses = node.options.join.clone();
        addresses.retain(|address| *address != node.options.peer);
    }
    let calls = addresses.iter().map(|address| async {
        let request = Request::Heartbeat(node.heartbeat());
        let reply = call(node, address, &request, HEARTBEAT_TIMEOUT).await;
        if let Some(Reply::Heartbeat(heartbeat)) = reply {
            on_heartbeat(node, &heartbeat);
        }
    });
    join_all(calls).await;
}
