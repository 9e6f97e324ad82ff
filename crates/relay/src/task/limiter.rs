//! Runs the rate limiter of the accounts.

use std::sync::Arc;
use std::time::Duration;

use account::rate::Action;
use account::rate::Policy;
use account::rate::ROW_PREFIX;
use clock::Span;
use futures::future::BoxFuture;
use tokio::time::timeout;

use crate::node::Node;
use crate::node::lock;
use crate::peers::Payload;
use crate::task::call::CALL_TIMEOUT;
use crate::task::call::timed_out;

/// Maximum time between two steps; loans are requested immediately when a request waits.
const STEP_PERIOD: Duration = Duration::from_millis(50);
/// Time between two steps until the first slices can be used; callers wait for these.
const FIRST_SLICES_PERIOD: Duration = Duration::from_millis(10);
/// Maximum time that a planned stop waits for its slices to be released.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns the limiter's timing for tables that charge per call and zone links that charge per
/// byte: few renewals and reads, correspondingly long leases, and few requests to peers that have
/// nothing to lend. A step is 50 ms, so demand is measured and loans last over a few steps. A
/// request waits briefly rather than being refused while its account has rate left. Leases last
/// longer in fleets of more than 16 instances.
pub fn policy() -> Policy {
    Policy {
        lease: Span::from_secs(9),
        renew_interval: Span::from_secs(3),
        read_interval: Span::from_millis(3_000),
        first_read_interval: Span::from_millis(500),
        max_read_gap: Span::from_secs(8),
        promise: Span::from_secs(9),
        loan: Span::from_millis(150),
        activation_delay: Span::from_millis(200),
        max_wait: Span::from_millis(40),
        demand_window: Span::from_millis(50),
        empty_backoff: Span::from_millis(200),
        empty_doublings: 3,
        max_borrows: 3,
        fleet_size: 16,
        join_delay: Span::from_millis(400),
        join_spacing: Span::from_millis(20),
        ..Policy::default()
    }
}

/// Steps the limiter until the process ends, when notified or after `STEP_PERIOD`.
pub async fn run(node: Arc<Node>) {
    loop {
        let actions = {
            let mut limiter = lock(&node.limiter);
            if node.on_members(limiter.members()) {
                let peers = limiter.members().keys().cloned().collect();
                limiter.on_peers(peers);
            }
            limiter.tick(node.now())
        };
        execute(&node, actions).await;
        let _elapsed = timeout(STEP_PERIOD, node.limiter_due.notified()).await;
    }
}

/// Waits until this instance can grant requests: with its own slices, or by borrowing.
pub async fn wait_for_slices(node: &Node) {
    while !lock(&node.limiter).can_grant(node.now()) {
        tokio::time::sleep(FIRST_SLICES_PERIOD).await;
        node.limiter_due.notify_one();
    }
}

/// Releases the slices at a planned stop.
pub async fn release_slices(node: &Arc<Node>) {
    lock(&node.limiter).leave(node.now());
    node.limiter_due.notify_one();
    let released = async {
        while !lock(&node.limiter).has_left() {
            tokio::time::sleep(STEP_PERIOD).await;
        }
    };
    if timeout(RELEASE_TIMEOUT, released).await.is_err() {
        log::warn!("event=slices-kept why=\"the table did not answer in time\"");
    }
}

fn execute(node: &Arc<Node>, actions: Vec<Action>) -> BoxFuture<'_, ()> {
    Box::pin(execute_all(node, actions))
}

async fn execute_all(node: &Arc<Node>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send(send) => {
                if let Some(address) = node.peer_address(&send.to) {
                    let payload = Payload::Rate(send.message);
                    node.peers.send(node, address, payload).await;
                }
            }
            Action::Read { id } => {
                let node = Arc::clone(node);
                tokio::spawn(async move { read(&node, id).await });
            }
            Action::Commit {
                id,
                conditions,
                writes,
            } => {
                let node = Arc::clone(node);
                tokio::spawn(async move {
                    let commit = node.dependencies.table.commit(conditions, writes);
                    let result = timeout(CALL_TIMEOUT, commit).await;
                    let result = result.unwrap_or_else(|_| Err(timed_out("commit slices")));
                    let is_registered = {
                        let mut limiter = lock(&node.limiter);
                        let since = limiter.registration().since;
                        limiter.on_commit(node.now(), id, result);
                        limiter.registration().since != since
                    };
                    if is_registered {
                        // A leader lease needs a read of the appointments after the registration.
                        node.leader_appointed.notify_one();
                    }
                });
            }
        }
    }
}

async fn read(node: &Arc<Node>, id: u64) {
    let result = timeout(CALL_TIMEOUT, node.dependencies.table.list(ROW_PREFIX)).await;
    let result = result.unwrap_or_else(|_| Err(timed_out("read slices")));
    let actions = lock(&node.limiter).on_read(node.now(), id, result);
    execute(node, actions).await;
}
