//! Keeps the groups equal to the settings in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Pool;
use endpoint::Target;
use group::Member;
use group::Policy;
use group::View;
use settings::Group;
use settings::Tree;
use store::Machine;
use store::Status;
use timeline::Kind;
use timeline::event;

use super::Handle;
use super::driver;
use crate::node::Node;
use crate::node::lock;

/// How long the primary of an evacuated zone still gets statements while its role is handed over; a
/// hand-over takes less than a second, and an evacuation is in force within five.
const EVACUATION_GRACE: Span = Span::from_secs(4);

/// Opens, updates and closes groups after the settings or the members changed.
///
/// The settings are read under the lock, as a task with earlier ones would else reopen the groups
/// that another has just closed.
pub fn apply(node: &Arc<Node>) {
    let _applying = lock(&node.applying);
    let Some(held) = node.held() else { return };
    let tree = &held.tree;
    let current = lock(&node.groups).clone();
    let mut next = BTreeMap::new();
    for (name, group) in &tree.groups {
        let members = members(group);
        let kept = current.get(name).filter(|handle| handle.members == members);
        let handle = match kept {
            Some(handle) => {
                handle.tell(|view, _| view.set_policy(policy(tree, name)));
                Arc::clone(handle)
            }
            None => open(node, tree, name, members),
        };
        configure(node, tree, group, &handle);
        next.insert(Arc::clone(name), handle);
    }
    for (name, handle) in &current {
        let is_kept = next
            .get(name)
            .is_some_and(|other: &Arc<Handle>| Arc::ptr_eq(other, handle));
        if !is_kept {
            handle.stop.cancel();
            handle.tell(|view, _| view.close());
        }
    }
    *lock(&node.groups) = next;
    apply_evacuations(node, tree);
    for handle in node.all_groups() {
        retire(node, &handle);
    }
}

/// Divides a group's connections anew, for instance after its primary changed.
pub(super) fn share(node: &Arc<Node>, handle: &Arc<Handle>) {
    let Some(held) = node.held() else { return };
    if let Some(group) = held.tree.groups.get(&handle.name) {
        configure(node, &held.tree, group, handle);
    }
}

fn configure(node: &Arc<Node>, tree: &Tree, group: &Group, handle: &Arc<Handle>) {
    let shares = shares(node, tree, &handle.name, group, handle);
    handle.pool.set_servers(&shares);
    let weights = weights(tree);
    for (target, connections) in &shares {
        let line = handle.line(&target.name);
        line.configure(*connections, &weights);
    }
}

fn members(group: &Group) -> Vec<Member> {
    group
        .endpoints
        .iter()
        .map(|(name, endpoint)| Member {
            endpoint: Arc::clone(name),
            zone: Arc::clone(&endpoint.zone),
        })
        .collect()
}

fn policy(tree: &Tree, name: &str) -> Policy {
    let effective = tree.resolve_group(name).unwrap_or_default();
    Policy {
        proof_lease: Span::from_millis(effective.proof_lease_ms),
        refusal_timeout: Span::from_millis(effective.detect_ms),
        poll_interval: Span::from_millis(effective.poll_ms),
        ..Policy::default()
    }
}

fn open(node: &Arc<Node>, tree: &Tree, name: &Arc<str>, members: Vec<Member>) -> Arc<Handle> {
    let instance = Arc::clone(&node.options.name);
    let group = Arc::clone(name);
    let view = View::open(
        node.now(),
        instance,
        group,
        members.clone(),
        policy(tree, name),
    );
    let pool = Pool::open(Arc::clone(&node.connector));
    let handle = Handle::open(
        Arc::clone(name),
        members,
        view,
        pool,
        Arc::clone(&node.clock),
    );
    let lease_span = *lock(&node.lease_span);
    if let Some((from, until)) = lease_span {
        handle.tell(|view, _| view.on_registered(from, until));
    }
    driver::spawn(Arc::clone(node), Arc::clone(&handle));
    handle
}

/// Divides the group's connections: one to each replica, the rest to the primary.
fn shares(
    node: &Arc<Node>,
    tree: &Tree,
    name: &str,
    group: &Group,
    handle: &Handle,
) -> Vec<(Target, usize)> {
    let effective = tree.resolve_group(name).unwrap_or_default();
    let all = usize::try_from(effective.connections).unwrap_or(usize::MAX);
    let servers = group.endpoints.len();
    let own = (all / node.instances()).max(servers);
    let primary = handle.view(|view, now| view.primary(now));
    let spare = own - servers;
    group
        .endpoints
        .iter()
        .map(|(server, endpoint)| {
            let is_primary = primary.as_ref().is_none_or(|(name, _)| name == server);
            let limit = if is_primary { 1 + spare } else { 1 };
            (target(node, tree, group, server, endpoint), limit)
        })
        .collect()
}

/// Returns the accounts' weights.
fn weights(tree: &Tree) -> BTreeMap<Arc<str>, u32> {
    tree.accounts
        .keys()
        .filter_map(|name| {
            let weight = tree.resolve_account(name)?.weight;
            Some((Arc::clone(name), u32::try_from(weight).unwrap_or(u32::MAX)))
        })
        .collect()
}

fn target(
    node: &Arc<Node>,
    tree: &Tree,
    group: &Group,
    server: &Arc<str>,
    endpoint: &settings::Endpoint,
) -> Target {
    let user = if group.user.is_empty() {
        &node.options.endpoint_user
    } else {
        &group.user
    };
    Target {
        name: Arc::clone(server),
        address: node.options.reach(&endpoint.address),
        database: database(tree, group),
        user: Arc::clone(user),
        password: Arc::clone(&node.options.endpoint_password),
    }
}

/// Returns the database that the group's routes name.
fn database(tree: &Tree, group: &Group) -> Arc<str> {
    let routes = tree
        .services
        .values()
        .flat_map(|service| service.routes.values());
    let is_here = |route: &&settings::Route| {
        tree.groups
            .get(&route.group)
            .is_some_and(|other| std::ptr::eq(other, group))
    };
    let found = routes.into_iter().find(is_here);
    found.map_or_else(
        || Arc::from("postgres"),
        |route| Arc::clone(&route.database),
    )
}

/// Tells the groups which endpoints are about to leave, and orders hand-overs from them.
pub fn apply_roster(node: &Arc<Node>, machines: &[Machine]) {
    let leaving = machines
        .iter()
        .filter(|machine| &*machine.role == "endpoint" && machine.status == Status::Leaving)
        .map(|machine| Arc::clone(&machine.name))
        .collect();
    *lock(&node.leaving) = leaving;
    for handle in node.all_groups() {
        retire(node, &handle);
    }
}

/// Tells a group which of its endpoints are leaving or evacuated, and orders a hand-over from one
/// that is its primary.
fn retire(node: &Arc<Node>, handle: &Arc<Handle>) {
    let members = handle.members.iter();
    let leaving: BTreeSet<Arc<str>> = {
        let all = lock(&node.leaving);
        members
            .clone()
            .map(|member| Arc::clone(&member.endpoint))
            .filter(|name| all.contains(name))
            .collect()
    };
    let evacuated: BTreeMap<Arc<str>, Time> = {
        let zones = lock(&node.evacuated);
        let deadline = |member: &Member| zones.as_ref()?.get(&member.zone).copied();
        members
            .filter_map(|member| Some((Arc::clone(&member.endpoint), deadline(member)?)))
            .collect()
    };
    let is_poller = {
        let key = group::Row::key(&handle.name);
        lock(&node.members).is_poller(node.now(), &key)
    };
    let primary = handle.view(|view, now| view.primary(now));
    let why = match &primary {
        Some((name, _)) if leaving.contains(name) => Some("endpoint is leaving"),
        Some((name, _)) if evacuated.contains_key(name) => Some("zone is evacuated"),
        _ => None,
    };
    handle.input(|view, now| {
        view.set_leaving(leaving);
        view.set_evacuated(evacuated);
        if let Some((primary, _)) = primary
            && let Some(why) = why
            && is_poller
        {
            view.request_handover(now, why, &primary);
        }
    });
}

/// Takes over which zones are evacuated and records the changes.
///
/// A zone that was evacuated before this process started gets no statements at once.
fn apply_evacuations(node: &Arc<Node>, tree: &Tree) {
    let now = node.now();
    let revision = lock(&node.holder).revision();
    let mut evacuated = lock(&node.evacuated);
    let is_start = evacuated.is_none();
    let before = evacuated.take().unwrap_or_default();
    let zones = tree.zones.iter().filter(|(_, zone)| zone.evacuated);
    let next: BTreeMap<Arc<str>, Time> = zones
        .map(|(name, _)| {
            let deadline = match before.get(name) {
                Some(deadline) => *deadline,
                None if is_start => now,
                None => now + EVACUATION_GRACE,
            };
            (Arc::clone(name), deadline)
        })
        .collect();
    let record = |what: &'static str, zone: &Arc<str>| {
        log::info!("event={what} zone={zone} revision={revision}");
        let changed = event(Kind::Settings, what)
            .with("zone", zone)
            .with("revision", revision);
        node.ring.record(changed);
    };
    for zone in next.keys().filter(|zone| !before.contains_key(*zone)) {
        record("zone-evacuated", zone);
    }
    for zone in before.keys().filter(|zone| !next.contains_key(*zone)) {
        record("evacuation-ended", zone);
    }
    *evacuated = Some(next);
}
