//! Steps the rate limiter of the accounts and exchanges its messages with peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use account::rate::Action;
use account::rate::Limit;
use account::rate::Message;
use account::rate::ROW_PREFIX;
use account::rate::Send;
use settings::Held;
use store::Error;
use tokio::time::timeout;

use super::call;
use crate::node::Node;
use crate::node::lock;
use crate::wire::Reply;
use crate::wire::Request;

/// The maximum time between two steps of the limiter.
const STEP_PERIOD: Duration = Duration::from_millis(5);

/// The maximum wait for a peer's reply.
const PEER_TIMEOUT: Duration = Duration::from_millis(100);

/// The maximum time that a planned stop waits for the rate slices to be returned.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Steps the limiter until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        // The limiter checks for due work on a timeout as well as on a notification.
        let _elapsed = timeout(STEP_PERIOD, node.limiter_wake.notified()).await;
        let peers: Vec<Arc<str>> = node.peers().into_keys().collect();
        let actions = {
            let mut limiter = lock(&node.limiter);
            limiter.on_peers(peers);
            limiter.tick(node.now())
        };
        perform(&node, actions);
    }
}

/// Puts the rate limits of these settings in force.
pub fn apply(node: &Arc<Node>, held: &Held) {
    let limits: BTreeMap<Arc<str>, Limit> = held
        .tree
        .accounts
        .keys()
        .filter_map(|name| {
            let effective = held.tree.resolve_account(name)?;
            let limit = Limit {
                rate: effective.rate_per_s,
                burst: effective.burst,
            };
            Some((Arc::clone(name), limit))
        })
        .collect();
    let revision = held.snapshot.revision;
    lock(&node.limiter).on_settings(node.now(), revision, &limits);
}

/// Handles a message of a peer's limiter and returns the replies.
pub fn on_message(node: &Arc<Node>, from: &str, message: Message) -> Vec<Send> {
    let sends = lock(&node.limiter).on_message(node.now(), from, message);
    node.tokens_added.notify_waiters();
    sends
}

/// Returns the rate slices at a planned stop.
pub async fn return_slices(node: &Arc<Node>) {
    lock(&node.limiter).leave(node.now());
    node.limiter_wake.notify_one();
    let returned = async {
        while !lock(&node.limiter).has_left() {
            tokio::time::sleep(STEP_PERIOD).await;
        }
    };
    if timeout(LEAVE_TIMEOUT, returned).await.is_err() {
        log::warn!("event=rate-slices-not-returned");
    }
}

fn perform(node: &Arc<Node>, actions: Vec<Action>) {
    for action in actions {
        let node = Arc::clone(node);
        match action {
            Action::Send(send) => {
                tokio::spawn(async move { exchange(&node, send).await });
            }
            Action::Read { id } => {
                tokio::spawn(async move { read_rows(&node, id).await });
            }
            Action::Commit {
                id,
                conditions,
                writes,
            } => {
                tokio::spawn(async move {
                    let result = node.table.commit(conditions, writes).await;
                    lock(&node.limiter).on_commit(node.now(), id, result);
                });
            }
        }
    }
}

async fn read_rows(node: &Arc<Node>, id: u64) {
    let result: Result<Vec<store::Row>, Error> = node.table.list(ROW_PREFIX).await;
    let actions = lock(&node.limiter).on_read(node.now(), id, result);
    perform(node, actions);
}

async fn exchange(node: &Arc<Node>, send: Send) {
    let Some(address) = node.peers().get(&send.to).cloned() else {
        return;
    };
    let request = Request::Rate(send.message);
    let reply = call(node, &address, &request, PEER_TIMEOUT).await;
    if let Some(Reply::Rate(messages)) = reply {
        for message in messages {
            // Answers to a reply would start a new exchange; the limiter produces none.
            on_message(node, &send.to, message);
        }
    }
}
