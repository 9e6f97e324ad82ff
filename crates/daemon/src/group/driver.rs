//! Carries out what a group's view asks for.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::Span;
use futures::future::join_all;
use group::Action;
use group::Outcome;
use group::Row;
use group::Votes;
use store::Condition;
use store::Write;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use super::Handle;
use super::hub;
use super::poll::poll;
use super::poll::poll_all;
use super::retention;
use crate::node::Node;
use crate::node::lock;
use crate::wire::Reply;
use crate::wire::Request;

/// The period of the view's steps.
const TICK: Duration = Duration::from_millis(10);

/// The period of status queries to each server.
const POLL_EVERY: Duration = Duration::from_millis(50);

/// Longest wait for a peer's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest wait for an order to promote.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Starts the tasks of a group; they end with its `stop`.
pub fn spawn(node: Arc<Node>, handle: Arc<Handle>) {
    for server in &handle.members {
        let name = Arc::clone(&server.endpoint);
        tokio::spawn(poll_loop(Arc::clone(&node), Arc::clone(&handle), name));
    }
    tokio::spawn(retention::run(Arc::clone(&node), Arc::clone(&handle)));
    tokio::spawn(step_loop(node, handle));
}

async fn poll_loop(node: Arc<Node>, handle: Arc<Handle>, server: Arc<str>) {
    let mut ticks = interval(POLL_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = handle.stop.cancelled() => return,
            _ = ticks.tick() => poll(&node, &handle, &server).await,
        }
    }
}

async fn step_loop(node: Arc<Node>, handle: Arc<Handle>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let reading = Arc::new(AtomicBool::new(false));
    let mut primary = None;
    loop {
        tokio::select! {
            () = handle.stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        for action in handle.tell(|view, now| view.tick(now)) {
            carry_out(&node, &handle, action, &reading);
        }
        advance(&handle);
        let now_primary = handle.view(|view, now| view.primary(now));
        if now_primary != primary {
            primary = now_primary;
            hub::share(&node, &handle);
        }
    }
}

/// Notes how far the primary's log is proven, so that reads need not wait for it.
fn advance(handle: &Handle) {
    if let Some((_, position)) = handle.view(|view, now| view.confirmed(now)) {
        handle.is_durable(position);
    }
}

fn carry_out(node: &Arc<Node>, handle: &Arc<Handle>, action: Action, reading: &Arc<AtomicBool>) {
    let node = Arc::clone(node);
    let handle = Arc::clone(handle);
    match action {
        Action::Event(event) => node.ring.record(event),
        Action::PollServers => poll_all(&node, &handle, Span::ZERO),
        Action::PollAll => {
            poll_all(&node, &handle, Span::ZERO);
            let reading = Arc::clone(reading);
            if !reading.swap(true, Ordering::Relaxed) {
                tokio::spawn(async move {
                    read_row(&node, &handle).await;
                    reading.store(false, Ordering::Relaxed);
                });
            }
        }
        Action::AskPeers { term } => {
            tokio::spawn(async move { ask_peers(&node, &handle, term).await });
        }
        Action::Create { row } => {
            let condition = Condition::Absent {
                key: Row::key(&handle.name),
            };
            tokio::spawn(async move { commit(&node, &handle, condition, row).await });
        }
        Action::Commit { expected, row } => {
            let condition = Condition::Version {
                key: Row::key(&handle.name),
                version: expected,
            };
            tokio::spawn(async move { commit(&node, &handle, condition, row).await });
        }
        Action::ListInstances => {
            tokio::spawn(async move { list_instances(&node, &handle).await });
        }
        Action::Announce {
            instances,
            row,
            version,
        } => {
            tokio::spawn(async move { announce(&node, &handle, instances, row, version).await });
        }
        Action::Promote { endpoint, term } => {
            tokio::spawn(async move { promote(&node, &handle, &endpoint, term).await });
        }
    }
}

async fn read_row(node: &Arc<Node>, handle: &Arc<Handle>) {
    let started = node.now();
    match node.table.get(&Row::key(&handle.name)).await {
        Ok(row) => handle.on_row(started, row.as_ref()),
        Err(error) => {
            log::debug!("step=read-row group={} error={error:?}", handle.name);
            handle.input(|view, now| view.on_table_failed(now));
        }
    }
}

async fn commit(node: &Arc<Node>, handle: &Arc<Handle>, condition: Condition, row: Row) {
    let started = node.now();
    let key = Row::key(&handle.name);
    let write = Write::Put {
        key: Arc::clone(&key),
        value: Arc::from(row.to_json()),
    };
    let outcome = node.table.commit(vec![condition], vec![write]).await;
    let outcome = match outcome {
        Ok(store::Outcome::Committed { version }) => Outcome::Committed { version },
        Ok(store::Outcome::Conflict { rows }) => Outcome::Conflict {
            current: rows.iter().find(|row| row.key == key).and_then(|row| {
                let parsed = Row::parse(&handle.name, &row.value).ok()?;
                Some((parsed, row.version))
            }),
        },
        Err(store::Error::Refused { .. }) => Outcome::Refused,
        Err(store::Error::Unknown { .. }) => Outcome::Unknown,
    };
    handle.input(|view, now| view.on_commit_result(now, started, row, outcome));
}

async fn ask_peers(node: &Arc<Node>, handle: &Arc<Handle>, term: u64) {
    let peers = node.peers();
    let request = Request::Vote {
        group: Arc::clone(&handle.name),
        term,
    };
    let calls = peers.iter().map(|(name, address)| async {
        let reply = crate::task::call(node, address, &request, PEER_TIMEOUT).await;
        match reply {
            Some(Reply::Vote(vote)) => Some((Arc::clone(name), vote)),
            _ => None,
        }
    });
    let answers: BTreeMap<Arc<str>, Option<bool>> =
        join_all(calls).await.into_iter().flatten().collect();
    let votes = Votes {
        term,
        peers: peers.len(),
        answers,
    };
    handle.input(|view, now| view.on_votes(now, votes));
}

async fn list_instances(node: &Arc<Node>, handle: &Arc<Handle>) {
    let started = node.now();
    let Ok(rows) = node.table.list(membership::INSTANCE_PREFIX).await else {
        handle.input(|view, now| view.on_table_failed(now));
        return;
    };
    let names: BTreeSet<Arc<str>> = rows
        .iter()
        .filter_map(|row| row.key.strip_prefix(membership::INSTANCE_PREFIX))
        .map(Arc::from)
        .collect();
    handle.input(|view, now| view.on_instances(now, started, names));
}

async fn announce(
    node: &Arc<Node>,
    handle: &Arc<Handle>,
    instances: Vec<Arc<str>>,
    row: Row,
    version: u64,
) {
    let request = Request::Announce {
        group: Arc::clone(&handle.name),
        row,
        version,
    };
    let addresses = addresses(node, &instances);
    let calls = addresses.iter().map(|(name, address)| async {
        let reply = crate::task::call(node, address, &request, PEER_TIMEOUT).await;
        if let Some(Reply::Acknowledged(revision)) = reply {
            handle.input(|view, now| view.on_acknowledged(now, name, revision));
        }
    });
    join_all(calls).await;
}

/// Returns where to reach these instances, or all live peers if none are named.
fn addresses(node: &Arc<Node>, instances: &[Arc<str>]) -> BTreeMap<Arc<str>, Arc<str>> {
    if instances.is_empty() {
        return node.peers();
    }
    let members = lock(&node.members);
    instances
        .iter()
        .filter_map(|name| members.get(name))
        .map(|member| {
            let address = node.options.reach(&member.address);
            (Arc::clone(&member.name), address)
        })
        .collect()
}

async fn promote(node: &Arc<Node>, handle: &Arc<Handle>, server: &str, term: u64) {
    let attempt = async {
        // A connection of its own, since those of the pool may all be in use.
        let mut connection = handle.pool.connect_unpooled(server).await?;
        connection.promote(term).await?;
        let started = node.now();
        let status = connection.status().await;
        handle.on_status(started, server, &status);
        Ok::<(), endpoint::Error>(())
    };
    match timeout(PROMOTE_TIMEOUT, attempt).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => handle.on_failure(server, &error),
        Err(_) => handle.on_silence(server),
    }
}
