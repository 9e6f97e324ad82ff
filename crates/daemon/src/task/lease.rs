//! Keeps the instance's lease row and reads those of the others.

use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use clock::Time;
use membership::Transaction;
use rand::Rng;
use timeline::Kind;
use timeline::event;
use tokio::time::sleep;

use crate::node::Node;
use crate::node::lock;

/// Longest time between two looks at what is due.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// How often the lease is tried to be given back.
const RELEASE_TRIES: u32 = 3;

/// The period of reads of all lease rows.
const LIST_EVERY: Span = Span::from_millis(1_000);

/// The period of reads of the roster.
const ROSTER_EVERY: Span = Span::from_millis(1_000);

/// Members are forgotten when their lease lapsed and they were silent for this long.
const FORGET_AFTER: Span = Span::from_secs(10);

/// Renews the lease and reads the members until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut listed = None;
    let mut hinted = None;
    loop {
        let now = node.now();
        if lock(&node.renewer).is_replaced() {
            let lost = event(Kind::Peer, "lease-lost").with("why", "another process has the name");
            node.ring.record(lost);
            return;
        }
        let is_due = now >= lock(&node.renewer).due();
        if is_due {
            renew(&node).await;
        }
        if listed.is_none_or(|at| now >= at + LIST_EVERY) {
            listed = Some(now);
            list(&node).await;
        }
        if hinted.is_none_or(|at| now >= at + ROSTER_EVERY) {
            hinted = Some(now);
            hint(&node).await;
        }
        sleep(LOOK_EVERY).await;
    }
}

/// Gives the lease back at a planned stop, after a renewal that may be under way.
pub async fn release(node: &Arc<Node>) {
    let mut is_released = node.lease_turn.lock().await;
    *is_released = true;
    for _ in 0..RELEASE_TRIES {
        let renewal = lock(&node.renewer).release();
        let outcome = node.table.commit(renewal.conditions, renewal.writes).await;
        match outcome {
            Ok(store::Outcome::Committed { .. }) => return,
            Ok(store::Outcome::Conflict { .. }) => {}
            Err(error) => log::warn!("step=release-lease error={error:?}"),
        }
        let key = membership::instance_key(&node.options.name);
        if let Ok(row) = node.table.get(&key).await {
            lock(&node.renewer).on_row(row.as_ref());
        }
    }
    log::warn!("step=release-lease what=not-given-back");
}

async fn renew(node: &Arc<Node>) {
    let is_released = node.lease_turn.lock().await;
    if *is_released {
        return;
    }
    let jitter = rand::rng().random_range(0..1_000);
    if lock(&node.renewer).is_read_required() {
        let key = membership::instance_key(&node.options.name);
        match node.table.get(&key).await {
            Ok(row) => lock(&node.renewer).on_row(row.as_ref()),
            Err(_) => {
                lock(&node.renewer).on_read_failed(node.now(), jitter);
                return;
            }
        }
    }
    let revision = lock(&node.holder).revision();
    let begun = node.now();
    let Transaction { conditions, writes } = lock(&node.renewer).renewal(revision);
    let outcome = node.table.commit(conditions, writes).await;
    let now = node.now();
    let until = {
        let mut renewer = lock(&node.renewer);
        renewer.on_outcome(begun, now, &outcome, jitter);
        renewer.valid_until()
    };
    if matches!(outcome, Ok(store::Outcome::Committed { .. })) {
        let from = extend(node, begun, now, until);
        for handle in node.all_groups() {
            handle.input(|view, _| view.on_registered(from, until));
        }
    }
}

/// Extends the span in which the row is known to be in the table, and returns its start.
fn extend(node: &Arc<Node>, begun: Time, now: Time, until: Time) -> Time {
    let mut registered = lock(&node.registered);
    let from = match *registered {
        // The renewal was begun while the row was still held.
        Some((from, held_until)) if begun <= held_until => from,
        _ => now,
    };
    *registered = Some((from, until));
    from
}

async fn list(node: &Arc<Node>) {
    let begun = node.now();
    let Ok(rows) = node.table.list(membership::INSTANCE_PREFIX).await else {
        return;
    };
    let gone = {
        let mut members = lock(&node.members);
        members.on_rows(begun, &rows);
        members.expire(node.now(), FORGET_AFTER)
    };
    let (known, swept) = {
        let members = lock(&node.members);
        let known: Vec<(Arc<str>, u64, u64)> = members
            .iter()
            .map(|member| (Arc::clone(&member.name), member.life, member.revision))
            .collect();
        (known, members.lapsed_row_deletions(node.now()))
    };
    for (name, life, revision) in known {
        lock(&node.holder).expect(&name, life, revision);
    }
    for Transaction { conditions, writes } in swept {
        if let Err(error) = node.table.commit(conditions, writes).await {
            log::debug!("step=sweep error={error:?}");
        }
    }
    for name in gone {
        lock(&node.holder).forget(&name);
        node.ring
            .record(event(Kind::Peer, "forgotten").with("peer", name));
    }
    if let Some(held) = node.held() {
        crate::group::apply(node, &held.tree);
    }
}

async fn hint(node: &Arc<Node>) {
    let Ok(machines) = node.roster.machines().await else {
        return;
    };
    lock(&node.members).on_roster(&machines);
    crate::group::apply_roster(node, &machines);
}
