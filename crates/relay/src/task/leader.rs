//! Finds a group's leader and keeps its known position recent.

use std::sync::Arc;
use std::sync::atomic::Ordering;
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

/// How often a group is checked.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// A leader whose last proof is older than this is probed; ordinary writes usually prove it sooner.
const PROOF_AGE_MAX: Span = Span::from_millis(300);
/// The same where another instance reports the leader's position.
const REPORT_AGE_MAX: Span = Span::from_millis(1_300);
/// Maximum wait for a probe's reply, which takes a round trip but no slot at the server.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns whether other instances watch the leader for this one.
fn is_reported(node: &Node, group: &Group) -> bool {
    node.has_reports.load(Ordering::Relaxed) && !group.has_silent_leader()
}

/// Watches a group's leader until the process ends.
pub async fn run(node: Arc<Node>, group: Arc<Group>) {
    loop {
        refresh(&node, &group).await;
        if !is_reported(&node, &group) {
            failover::check(&node, &group).await;
        }
        // A server that has just registered may be the leader.
        let _elapsed = timeout(CHECK_PERIOD, group.changed.notified()).await;
    }
}

async fn refresh(node: &Arc<Node>, group: &Arc<Group>) {
    let proven_at = lock(&group.leadership).proven_at();
    let age_max = match is_reported(node, group) {
        true => REPORT_AGE_MAX,
        false => PROOF_AGE_MAX,
    };
    let is_due = node.now() >= proven_at + age_max;
    let Some(leader) = group.leader() else {
        if is_due || !is_reported(node, group) {
            find_leader(node, group).await;
        }
        return;
    };
    if is_due {
        probe(node, group, &leader).await;
    }
}

/// Probes the servers until one proves its leadership, starting with those registered as primary.
async fn find_leader(node: &Arc<Node>, group: &Arc<Group>) {
    for server in group.leader_candidates() {
        if !group.admits(&server.name) {
            continue;
        }
        probe(node, group, &server).await;
        if group.leader().is_some() {
            return;
        }
    }
}

/// Begins and rolls back an empty read-write transaction, which only a leader accepts.
pub async fn probe(node: &Arc<Node>, group: &Arc<Group>, server: &Arc<Server>) {
    let Some(account) = node.revision().accounts.keys().next().cloned() else {
        return;
    };
    node.metrics.leader_questions.inc();
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let mut connection = match server.pool.acquire_any(&account, deadline).await {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!(
                "event=leader-probe-skipped group={} why=\"{error}\"",
                group.name
            );
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
    match connection.exchange(&requests, deadline).await {
        Ok(replies) => {
            connection.release();
            let begin = &replies[0];
            match (begin.code(), begin.position) {
                (None, Some(position)) => {
                    group.on_proof(sent, &server.name, position);
                }
                (Some(Code::ReadOnly), _) => group.on_not_leader(&server.name),
                _ => {}
            }
        }
        Err(error) => {
            lock(&server.health).on_failure(node.now());
            log::debug!(
                "event=leader-probe-failed group={} why=\"{error}\"",
                group.name
            );
        }
    }
}
