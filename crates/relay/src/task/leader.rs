//! Looks for the leader of a group, and keeps a recent position of it.

use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::failover;
use crate::group::Group;
use crate::group::Server;
use crate::message::Code;
use crate::message::Request;
use crate::message::Statement;
use crate::node::Node;
use crate::node::lock;

/// The period of looks at a group.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Without proof for this long the leader is asked; ordinary writes prove it more often.
const PROOF_AGE: Span = Span::from_millis(300);
/// Longest wait for an answer; it needs no slot at the server, only a round trip.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Watches a group's leader until the process ends.
pub async fn run(node: Arc<Node>, group: Arc<Group>) {
    loop {
        look(&node, &group).await;
        failover::check(&node, &group).await;
        // A server that has just entered itself may be the leader.
        let _elapsed = timeout(LOOK_EVERY, group.changed.notified()).await;
    }
}

async fn look(node: &Arc<Node>, group: &Arc<Group>) {
    let Some(leader) = group.leader() else {
        find(node, group).await;
        return;
    };
    let proven = lock(&group.leadership).proven();
    if node.now() >= proven + PROOF_AGE {
        ask(node, group, &leader).await;
    }
}

/// Asks the servers until one proves to lead, those first that take themselves for the primary.
async fn find(node: &Arc<Node>, group: &Arc<Group>) {
    for server in group.suspects() {
        ask(node, group, &server).await;
        if group.leader().is_some() {
            return;
        }
    }
}

/// Begins and ends an empty transaction that may write, which only a leader allows.
pub async fn ask(node: &Arc<Node>, group: &Arc<Group>, server: &Arc<Server>) {
    let Some(account) = node.revision().accounts.keys().next().cloned() else {
        return;
    };
    node.metrics.leader_questions.inc();
    let deadline = Instant::now() + TIMEOUT;
    let mut lane = match server.pool.acquire_any(&account, deadline).await {
        Ok(lane) => lane,
        Err(error) => {
            log::debug!("event=leader-unasked group={} why=\"{error}\"", group.name);
            return;
        }
    };
    let sent = node.now();
    let requests = [
        Request::internal(Statement::Begin {
            is_read_only: false,
        }),
        Request::internal(Statement::Rollback),
    ];
    match lane.exchange(&requests, deadline).await {
        Ok(replies) => {
            lane.release();
            let begun = &replies[0];
            match (begun.code(), begun.position) {
                (None, Some(position)) => group.on_proof(sent, &server.name, position),
                (Some(Code::ReadOnly), _) => group.on_not_leader(&server.name),
                _ => {}
            }
        }
        Err(error) => {
            lock(&server.health).on_failure(node.now());
            log::debug!("event=leader-silent group={} why=\"{error}\"", group.name);
        }
    }
}
