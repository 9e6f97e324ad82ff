//! Follows the settings, and lets the keys count as known.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Time;
use membership::rendezvous_order;
use rand::seq::IteratorRandom;
use store::Batch;
use store::Change;
use tokio::time::timeout;

use crate::node::Node;
use crate::node::lock;
use crate::peers::Payload;
use crate::settings::Revision;
use crate::task::follower::Follower;

/// How long the store holds a question for changes. Each answer confirms that the keys are in
/// force, so it lies well below their grace. It is longer than the second for which a store may
/// keep changes back before it forgets its history, so that no answer falls into that second.
const WAIT: Duration = Duration::from_millis(1_300);
/// Longest wait for another instance's answer: the store's wait, and some for a slow store and for
/// the way. A question that is lost must not take an instance out of rotation.
const PEER_WAIT: Duration = Duration::from_millis(1_700);
/// The fewest instances that ask the store; the others ask these.
const ASKERS_MIN: usize = 2;
/// Instances for each further one that asks the store.
const INSTANCES_PER_ASKER: usize = 16;

/// What the instances are ranked by to choose those that ask the store.
const RANK_KEY: &str = "settings";

/// Follows the settings until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut follower = Follower::open(&node.dependencies.revisions, "settings");
    let mut is_known = false;
    loop {
        let asker = asker(&node).filter(|_| is_known);
        let Some(asker) = asker else {
            is_known = ask_store(&node, &mut follower).await;
            continue;
        };
        is_known = ask_peer(&node, asker).await;
        if !is_known {
            // The history from the last call on may be gone.
            follower.restart();
        }
    }
}

/// Returns an instance that asks the store; `None` if this one has to.
fn asker(node: &Node) -> Option<SocketAddr> {
    let members = node.peer_addresses();
    let mut askers = rendezvous_order(RANK_KEY, members.keys().chain([&node.options.name]));
    askers.truncate(ASKERS_MIN + askers.len() / INSTANCES_PER_ASKER);
    if askers.contains(&node.options.name) {
        return None;
    }
    let chosen = askers.iter().choose(&mut rand::rng())?;
    members.get(chosen).copied()
}

/// Asks the store for changes; returns whether it answered.
async fn ask_store(node: &Arc<Node>, follower: &mut Follower<Revision>) -> bool {
    let mut wait = WAIT;
    loop {
        let begun = node.now();
        let step = tokio::select! {
            step = follower.next(wait) => step,
            // A caller was refused for it, so the question is asked anew and answered at once.
            () = node.key_unsure.notified(), if wait > Duration::ZERO => {
                wait = Duration::ZERO;
                continue;
            }
        };
        let Some(step) = step else {
            return false;
        };
        take(node, step.batch);
        let number = node.revision().number;
        confirm(node, begun, number);
        let answers = lock(&node.confirmations).on_confirmed(begun, number);
        for (address, answer) in answers {
            node.peers.send(node, address, answer).await;
        }
        return true;
    }
}

/// Asks another instance for the store's next answer; returns whether it confirmed the settings.
async fn ask_peer(node: &Arc<Node>, address: SocketAddr) -> bool {
    let id = lock(&node.confirmations).ask(node.now());
    node.peers
        .send(node, address, Payload::Confirm { id })
        .await;
    let answered = async {
        loop {
            node.confirmed.notified().await;
            if let Some(answer) = lock(&node.confirmations).take_answer() {
                return answer;
            }
        }
    };
    let answer = tokio::select! {
        answer = timeout(PEER_WAIT, answered) => answer,
        () = node.key_unsure.notified() => return false,
    };
    let Ok(answer) = answer else {
        log::debug!("event=settings-unconfirmed peer={address}");
        return false;
    };
    if answer.revision > node.revision().number {
        return false;
    }
    confirm(node, answer.at, answer.revision);
    true
}

/// Notes that the store held `revision` as its newest at `at`.
fn confirm(node: &Node, at: Time, revision: u64) {
    lock(&node.keyring).on_current(at, revision);
    lock(&node.readiness).on_confirmed(at);
}

fn take(node: &Node, batch: Batch<Revision>) {
    for Change { name, value } in batch.changes {
        match value {
            Some(revision) => node.apply(revision),
            None => log::error!("event=settings-unreadable row={name}"),
        }
    }
}
