//! Confirmations of the store's rows by way of the few instances that read them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Time;
use membership::rendezvous_order;
use rand::seq::IteratorRandom;
use tokio::time::timeout;

use crate::node::Node;
use crate::node::lock;
use crate::peers::Confirmation;
use crate::peers::Payload;
use crate::peers::Topic;

/// Minimum number of instances that read the store; the others query these.
const POLLERS_MIN: usize = 2;
/// One further instance reads the store per this many instances.
const INSTANCES_PER_POLLER: usize = 16;

/// Chooses an instance that reads the store; `None` if this instance is one of them.
pub fn choose_poller(node: &Node, topic: Topic) -> Option<SocketAddr> {
    let pollers = node.pollers(topic);
    if pollers.contains(&node.options.name) {
        return None;
    }
    let chosen = pollers.iter().choose(&mut rand::rng())?;
    node.peer_address(chosen)
}

/// Chooses another instance that reads the store, also if this instance is one of them.
pub fn choose_other_poller(node: &Node, topic: Topic) -> Option<SocketAddr> {
    let pollers = node.pollers(topic);
    let others = pollers.iter().filter(|name| **name != node.options.name);
    let chosen = others.choose(&mut rand::rng())?;
    node.peer_address(chosen)
}

/// Ranks the instances and returns those that read the store.
pub fn rank_pollers<'a>(topic: Topic, names: impl Iterator<Item = &'a Arc<str>>) -> Vec<Arc<str>> {
    let mut pollers = rendezvous_order(&topic.to_string(), names);
    pollers.truncate(POLLERS_MIN + pollers.len() / INSTANCES_PER_POLLER);
    pollers
}

/// Responds to all pending queries that the store confirmed `revision` by a call begun at `begun`.
pub async fn respond(node: &Node, topic: Topic, begun: Time, revision: u64) {
    let responses = lock(node.confirmations.get(topic)).on_confirmed(topic, begun, revision);
    for (address, response) in responses {
        node.peers.send(node, address, response).await;
    }
}

/// Queries another instance for the store's next confirmation; `None` if there is no response
/// within `wait`.
pub async fn query(
    node: &Arc<Node>,
    address: SocketAddr,
    topic: Topic,
    wait: Duration,
) -> Option<Confirmation> {
    let confirmations = node.confirmations.get(topic);
    let id = lock(confirmations).query(node.now());
    let payload = Payload::GetConfirmation { id, topic };
    node.peers.send(node, address, payload).await;
    let answered = async {
        loop {
            node.confirmed.get(topic).notified().await;
            if let Some(answer) = lock(confirmations).take_confirmation() {
                return answer;
            }
        }
    };
    let answer = timeout(wait, answered).await.ok();
    if answer.is_none() {
        log::debug!("event=unconfirmed topic={topic} peer={address}");
    }
    answer
}
