//! What this process knows, as lists for operators.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use admin::Endpoint;
use admin::Group;
use admin::Instance;
use admin::Session;
use clock::Time;
use membership::HEARTBEAT_TIMEOUT;
use membership::Member;
use membership::Phase;

use crate::group::Handle;
use crate::node::Entry;
use crate::node::Node;
use crate::node::lock;

/// Lists the database groups.
pub(super) fn groups(node: &Node) -> Vec<Group> {
    let describe = |handle: &Arc<Handle>| {
        let (primary, is_writable, phase) = handle.view(|view, now| {
            let is_writable = view.may_send_write(now).is_ok();
            let phase = view.row().map(|row| (row.term, row.phase));
            (view.primary(now), is_writable, phase)
        });
        Group {
            name: Arc::clone(&handle.name),
            term: phase.map_or(0, |(term, _)| term),
            primary: primary.map(|(server, _)| server),
            phase: Arc::from(
                phase.map_or_else(|| "unknown".to_owned(), |(_, phase)| phase.to_string()),
            ),
            is_writable,
        }
    };
    node.all_groups().iter().map(describe).collect()
}

/// Lists the known instances, this one first.
pub(super) fn instances(node: &Node) -> Vec<Instance> {
    let now = node.now();
    let revision = lock(&node.holder).revision();
    let own = Instance {
        name: Arc::clone(&node.options.name),
        zone: Arc::clone(&node.options.zone),
        address: Arc::clone(&node.options.peer),
        admin: Arc::clone(&node.options.admin),
        state: state(node.phase() == Phase::Leaving, true, true),
        revision,
        heard_ms: Some(0),
    };
    let members = lock(&node.members);
    let others = members.iter().map(|member| instance(now, member));
    std::iter::once(own).chain(others).collect()
}

fn instance(now: Time, member: &Member) -> Instance {
    let is_heard = member.has_heartbeat_since(now - HEARTBEAT_TIMEOUT);
    Instance {
        name: Arc::clone(&member.name),
        zone: Arc::clone(&member.zone),
        address: Arc::clone(&member.address),
        admin: Arc::clone(&member.admin),
        state: state(
            member.phase == Phase::Leaving,
            is_heard,
            member.is_leased(now),
        ),
        revision: member.revision,
        heard_ms: member
            .last_heartbeat
            .map(|heard| now.since(heard).as_millis()),
    }
}

fn state(is_leaving: bool, is_heard: bool, is_leased: bool) -> Arc<str> {
    let state = match (is_leaving, is_heard, is_leased) {
        (true, _, _) => "leaving",
        (false, true, _) => "live",
        (false, false, true) => "suspected",
        (false, false, false) => "gone",
    };
    Arc::from(state)
}

/// Lists the servers of all groups.
pub(super) fn endpoints(node: &Node) -> Vec<Endpoint> {
    let Some(held) = node.held() else {
        return Vec::new();
    };
    let mut endpoints = Vec::new();
    for handle in node.all_groups() {
        let Some(group) = held.tree.groups.get(&handle.name) else {
            continue;
        };
        for (name, endpoint) in &group.endpoints {
            endpoints.push(describe(&handle, name, endpoint));
        }
    }
    endpoints
}

fn describe(handle: &Handle, name: &Arc<str>, endpoint: &settings::Endpoint) -> Endpoint {
    let (in_use, idle) = handle.pool.usage(name);
    let status = handle.status(name).map(|(_, status)| status);
    let is_up = handle.is_up(name);
    Endpoint {
        name: Arc::clone(name),
        group: Arc::clone(&handle.name),
        zone: Arc::clone(&endpoint.zone),
        address: Arc::clone(&endpoint.address),
        role: Arc::from(
            status.map_or_else(|| "unknown".to_owned(), |status| status.role.to_string()),
        ),
        state: Arc::from(if is_up { "up" } else { "down" }),
        received: status.map(|status| status.received.to_string()),
        applied: status.map(|status| status.applied.to_string()),
        connections: count(in_use + idle),
        in_use: count(in_use),
    }
}

/// Lists the open sessions.
pub(super) fn sessions(node: &Node) -> Vec<Session> {
    let now = node.now();
    let describe = |entry: &Arc<Entry>| Session {
        id: entry.id,
        account: Arc::clone(&entry.account),
        service: Arc::clone(&entry.service),
        route: Arc::clone(&entry.route),
        caller: Arc::from(entry.client.to_string()),
        state: Arc::from(session_state(entry)),
        statements: entry.statements.load(Ordering::Relaxed),
        age_ms: now.since(entry.began).as_millis(),
    };
    node.sessions.list().iter().map(describe).collect()
}

fn session_state(entry: &Entry) -> &'static str {
    if entry.is_running.load(Ordering::Relaxed) {
        "running"
    } else if entry.in_transaction.load(Ordering::Relaxed) {
        "in-transaction"
    } else {
        "idle"
    }
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
