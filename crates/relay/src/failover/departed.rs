//! Keeps track of servers whose entries vanished after they had said that they leave.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use store::Outcome;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::failover::Departures;
use crate::failover::Duty;
use crate::failover::Phase;
use crate::failover::command;
use crate::failover::departures::Departed;
use crate::failover::row;
use crate::group::Group;
use crate::message::Statement;
use crate::node::Node;
use crate::node::lock;

/// The period of looks whether a server that said it leaves has left.
const LOOK_EVERY: Duration = Duration::from_millis(1_000);
/// Instances write the row at a moment within this time, so that the first spares the others.
const SPREAD_MS: u64 = 400;

/// Finds out which departed servers have left, and keeps their row, until the process ends.
pub async fn watch_departed(node: Arc<Node>, group: Arc<Group>) {
    loop {
        let departed = group.departed(node.now());
        if lock(&group.departures).is_due(&departed) {
            record(&node, &group, &departed).await;
        }
        sleep(LOOK_EVERY).await;
        for (name, entry) in group.to_ask() {
            let answer = command::apart(&node, &group, &name, &entry, &Statement::Status).await;
            if answer.is_err_and(|error| command::shows_absence(&error)) {
                group.on_left(&name);
            }
        }
    }
}

/// Learns from the rows that earlier instances left which servers have departed, and whether one
/// died while it replaced the leader.
async fn learn(node: &Node, group: &Group) {
    let Some(found) = row::found(node).await else {
        return;
    };
    let content = Departures::content(&group.name, found.get(&Departures::key(&group.name)));
    lock(&group.departures).on_read(&content);
    group.recall(content);
    let duty = found.get(&Duty::key(&group.name)).and_then(Duty::read);
    if duty.is_some_and(|duty| duty.phase == Phase::Working) {
        lock(&group.checkup).on_replacement(node.now());
    }
}

/// Brings the row in line; what fails is tried again at the next look.
async fn record(node: &Node, group: &Group, departed: &Departed) {
    if !lock(&group.departures).is_read() {
        learn(node, group).await;
        return;
    }
    let pause = rand::rng().random_range(0..SPREAD_MS);
    sleep(Duration::from_millis(pause)).await;
    let Some(before) = row::read(node, group, &Departures::key(&group.name)).await else {
        return;
    };
    let content = Departures::content(&group.name, before.as_ref());
    let Some(next) = lock(&group.departures).change(&content, departed) else {
        lock(&group.departures).on_written(departed);
        return;
    };
    let (condition, write) = Departures::replace(&group.name, before.as_ref(), &next);
    let commit = node.dependencies.table.commit(vec![condition], vec![write]);
    match timeout(row::TABLE_TIMEOUT, commit).await {
        Ok(Ok(Outcome::Committed { .. })) => {
            let names: Vec<&str> = next.keys().map(|name| &**name).collect();
            log::info!(
                "event=departed-recorded group={} servers={names:?}",
                group.name
            );
            lock(&group.departures).on_written(departed);
        }
        other => log::info!(
            "event=departed-unrecorded group={} why=\"{other:?}\"",
            group.name
        ),
    }
}
