//! Status queries to the servers of a group.

use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use endpoint::Error;
use endpoint::Status;
use tokio::time::timeout;

use super::Handle;
use crate::node::Node;

/// Longest wait for a status, the opening of a connection included.
const STATUS_TIMEOUT: Duration = Duration::from_millis(250);

/// Without a status for this long, a server is asked over a connection of its own.
const PROBE_AFTER: Span = Span::from_millis(200);

/// The shortest time between two status queries to one server.
const SPACING: Span = Span::from_millis(2);

/// Begins a status query at every server now, unless one is under way or has just begun.
pub fn hasten(node: &Arc<Node>, handle: &Arc<Handle>) {
    poll_all(node, handle, SPACING);
}

/// Begins a status query at every server where none is under way or began within `spacing`.
pub(super) fn poll_all(node: &Arc<Node>, handle: &Arc<Handle>, spacing: Span) {
    for member in &handle.members {
        let node = Arc::clone(node);
        let handle = Arc::clone(handle);
        let server = Arc::clone(&member.endpoint);
        if handle.is_polled(&server, spacing) {
            continue;
        }
        tokio::spawn(async move { poll(&node, &handle, &server).await });
    }
}

/// Asks a server for its status once, over an idle connection if there is one.
///
/// Does nothing while another query of the same server is under way.
pub(super) async fn poll(node: &Arc<Node>, handle: &Arc<Handle>, server: &str) {
    if !handle.begin_poll(server) {
        return;
    }
    ask(node, handle, server).await;
    handle.end_poll(server);
}

async fn ask(node: &Arc<Node>, handle: &Arc<Handle>, server: &str) {
    let started = node.now();
    let result = timeout(STATUS_TIMEOUT, query(node, handle, server)).await;
    match result {
        Ok(Some(result)) => handle.on_status(started, server, &result),
        Ok(None) => {}
        Err(_) => handle.on_silence(server),
    }
}

/// Returns `None` if all connections are busy and the server answered not long ago.
async fn query(
    node: &Arc<Node>,
    handle: &Arc<Handle>,
    server: &str,
) -> Option<Result<Status, Error>> {
    match handle.pool.try_acquire(server).await {
        Some(Ok(mut lease)) => {
            let status = lease.status().await;
            if status.is_ok() {
                lease.release();
            }
            return Some(status);
        }
        Some(Err(error)) => return Some(Err(error)),
        None => {}
    }
    let latest = handle.status(server).map(|(started, _)| started);
    let is_recent = latest.is_some_and(|started| node.now().since(started) < PROBE_AFTER);
    if is_recent {
        return None;
    }
    match handle.pool.connect_unpooled(server).await {
        Ok(mut connection) => Some(connection.status().await),
        Err(error) => Some(Err(error)),
    }
}
