//! Tracks departed servers and keeps their row in the table up to date.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use store::Outcome;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::failover::Departures;
use crate::failover::Lease;
use crate::failover::Phase;
use crate::failover::command;
use crate::failover::departures::Departed;
use crate::failover::row;
use crate::group::Group;
use crate::message::Statement;
use crate::node::Node;
use crate::node::lock;

/// How often departed servers are polled to find out whether they have stopped.
const POLL_PERIOD: Duration = Duration::from_millis(1_000);
/// Upper bound of a random delay before the row is written, so that usually only one instance
/// writes it.
const WRITE_JITTER_MS: u64 = 400;

/// Polls departed servers and keeps their row up to date until the process ends.
pub async fn watch_departed(node: Arc<Node>, group: Arc<Group>) {
    loop {
        let departed = group.departed(node.now());
        lock(&group.departures).on_era(node.dependencies.table.era());
        if lock(&group.departures).needs_update(&departed) {
            update_row(&node, &group, &departed).await;
        }
        sleep(POLL_PERIOD).await;
        for (name, entry) in group.unconfirmed_departures() {
            let answer =
                command::run_dedicated(&node, &group, &name, &entry, &Statement::Status).await;
            if answer.is_err_and(|error| command::shows_server_gone(&error)) {
                group.on_departure_confirmed(&name);
            }
        }
    }
}

/// Reads the rows written by earlier instances: which servers have departed, and whether an
/// instance died while it replaced the leader.
async fn read_rows(node: &Node, group: &Group) {
    let Some(rows) = row::initial(node).await else {
        return;
    };
    let content = Departures::parse(&group.name, rows.get(&Departures::key(&group.name)));
    lock(&group.departures).on_read(&content);
    group.restore_departed(content);
    let Some(row) = rows.get(&Lease::key(&group.name)) else {
        return;
    };
    node.leases.on_row(node.now(), &group.name, row);
    let Some(lease) = Lease::parse(row) else {
        return;
    };
    node.leases.on_lease(&group.name, &lease);
    if lease.phase != Phase::Done {
        lock(&group.recheck).on_replacement(node.now());
    }
}

/// Updates the row to match `departed`; a failed write is retried at the next poll.
async fn update_row(node: &Node, group: &Group, departed: &Departed) {
    if !lock(&group.departures).is_read() {
        read_rows(node, group).await;
        return;
    }
    let pause = rand::rng().random_range(0..WRITE_JITTER_MS);
    sleep(Duration::from_millis(pause)).await;
    let Some(before) = row::read(node, group, &Departures::key(&group.name)).await else {
        return;
    };
    let content = Departures::parse(&group.name, before.as_ref());
    let Some(next) = lock(&group.departures).updated(&content, departed) else {
        lock(&group.departures).on_recorded(departed);
        return;
    };
    let (condition, write) = Departures::compare_and_set(&group.name, before.as_ref(), &next);
    let commit = node.dependencies.table.commit(vec![condition], vec![write]);
    match timeout(row::TABLE_TIMEOUT, commit).await {
        Ok(Ok(Outcome::Committed { .. })) => {
            let names: Vec<&str> = next.keys().map(|name| &**name).collect();
            log::info!(
                "event=departed-recorded group={} servers={names:?}",
                group.name
            );
            lock(&group.departures).on_recorded(departed);
        }
        other => log::info!(
            "event=departed-write-failed group={} why=\"{other:?}\"",
            group.name
        ),
    }
}
