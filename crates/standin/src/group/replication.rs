//! How a server follows the primary of the highest term that it can reach.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::time::Duration;

use tokio::time::Instant;

use super::Group;
use super::Record;
use super::Role;
use super::Server;
use super::Store;
use super::state::State;

/// How often a server looks for records when nothing wakes it.
const IDLE_INTERVAL: Duration = Duration::from_millis(20);
/// How often a server looks for records that are under way.
const BUSY_INTERVAL: Duration = Duration::from_millis(1);

/// Follows for as long as the group exists.
pub(super) async fn follow(group: Weak<Group>, index: usize) {
    loop {
        let Some(group) = group.upgrade() else {
            return;
        };
        let changed = Arc::clone(&group.changed);
        let notified = changed.notified();
        let busy = step(&group, index).await;
        drop(group);
        let interval = if busy { BUSY_INTERVAL } else { IDLE_INTERVAL };
        let _ = tokio::time::timeout(interval, notified).await;
    }
}

/// Receives and applies what is due; returns true if more is under way.
async fn step(group: &Group, index: usize) -> bool {
    let server = &group.servers[index];
    if !server.is_alive() || server.is_paused() {
        return false;
    }
    let mut busy = false;
    if let Some(leader) = leader(group, index) {
        busy |= receive(server, &group.servers[leader], group.link());
    }
    busy | apply(server, group.lag()).await
}

/// Returns the reachable primary of the highest term, if it beats this server's own.
fn leader(group: &Group, index: usize) -> Option<usize> {
    let own = group.servers[index].status();
    let mut best = None;
    for (other, server) in group.servers.iter().enumerate() {
        if other == index || !server.is_alive() || server.is_paused() || group.is_cut(index, other)
        {
            continue;
        }
        let status = server.status();
        if status.role != Role::Primary {
            continue;
        }
        let term = status.received.term;
        let beaten = own.role == Role::Primary && term <= own.received.term;
        if !beaten && best.is_none_or(|(highest, _)| term > highest) {
            best = Some((term, other));
        }
    }
    best.map(|(_, other)| other)
}

/// Copies the records that have arrived, after dropping those that the leader does not have.
fn receive(server: &Server, leader: &Server, link: Duration) -> bool {
    let now = Instant::now();
    let (mut ours, theirs) = lock_both(server, leader);
    if theirs.role != Role::Primary || theirs.received().term < ours.received().term {
        return false;
    }
    let common = ours.common_prefix(&theirs);
    let fresh: Vec<Arc<Record>> = theirs.log[common..]
        .iter()
        .map(|held| Arc::clone(&held.record))
        .take_while(|record| record.committed + link <= now)
        .collect();
    let busy = common + fresh.len() < theirs.log.len();
    if fresh.is_empty() {
        return busy;
    }
    truncate(&server.name, &mut ours, common);
    ours.role = Role::Replica;
    for record in fresh {
        ours.append(record, now);
    }
    busy
}

type Guard<'a> = MutexGuard<'a, State>;

/// Locks two servers in the order of their names.
fn lock_both<'a>(first: &'a Server, second: &'a Server) -> (Guard<'a>, Guard<'a>) {
    if first.name < second.name {
        let one = first.lock();
        (one, second.lock())
    } else {
        let two = second.lock();
        (first.lock(), two)
    }
}

/// Drops the records after `common` and rebuilds the data if it holds any of them.
fn truncate(name: &str, state: &mut State, common: usize) {
    let dropped = state.log.len() - common;
    if dropped == 0 {
        return;
    }
    log::info!("kind=group what=truncated server={name} records={dropped}");
    state.log.truncate(common);
    if state.applied <= common {
        return;
    }
    let store = match Store::create() {
        Ok(store) => store,
        Err(error) => panic!("cannot rebuild {name}: {error}"),
    };
    state.store = Arc::clone(&store);
    state.applied = 0;
    let writer = store.try_writer();
    state.replay(&writer, usize::MAX);
}

/// Applies what has waited long enough; returns true if more waits.
async fn apply(server: &Server, lag: Duration) -> bool {
    let store = server.store();
    if server.is_applied() {
        return false;
    }
    let writer = store.writer().await;
    let mut state = server.lock();
    if state.role == Role::Primary || !Arc::ptr_eq(&store, &state.store) {
        return true;
    }
    let now = Instant::now();
    let due = state.log.partition_point(|held| held.received + lag <= now);
    state.replay(&writer, due);
    state.applied < state.log.len()
}
