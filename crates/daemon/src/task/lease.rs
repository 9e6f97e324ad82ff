//! Renews the instance's lease row and reads the lease rows of all members.

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

/// The period of checks for due work.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// The maximum number of attempts to release the lease.
const RELEASE_ATTEMPTS: u32 = 3;

/// The period of reads of all lease rows.
const LEASE_READ_PERIOD: Span = Span::from_millis(1_000);

/// The period of reads of the roster.
const ROSTER_READ_PERIOD: Span = Span::from_millis(1_000);

/// A member is removed once its lease has expired and it has been silent for this long.
const REMOVE_AFTER: Span = Span::from_secs(10);

/// Renews the lease and reads the members until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut leases_read = None;
    let mut roster_read = None;
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
        if leases_read.is_none_or(|at| now >= at + LEASE_READ_PERIOD) {
            leases_read = Some(now);
            read_leases(&node).await;
        }
        if roster_read.is_none_or(|at| now >= at + ROSTER_READ_PERIOD) {
            roster_read = Some(now);
            read_roster(&node).await;
        }
        sleep(CHECK_PERIOD).await;
    }
}

/// Releases the lease at a planned stop, after waiting for a renewal that may be in progress.
pub async fn release_lease(node: &Arc<Node>) {
    let mut is_released = node.is_lease_released.lock().await;
    *is_released = true;
    for _ in 0..RELEASE_ATTEMPTS {
        let release = lock(&node.renewer).release();
        let outcome = node.table.commit(release.conditions, release.writes).await;
        match outcome {
            Ok(store::Outcome::Committed { .. }) => return,
            Ok(store::Outcome::Conflict { .. }) => {}
            Err(error) => log::warn!("event=lease-release-failed error={error:?}"),
        }
        let key = membership::instance_key(&node.options.name);
        if let Ok(row) = node.table.get(&key).await {
            lock(&node.renewer).on_row(row.as_ref());
        }
    }
    log::warn!("event=lease-not-released");
}

async fn renew(node: &Arc<Node>) {
    let is_released = node.is_lease_released.lock().await;
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
    let mut lease_span = lock(&node.lease_span);
    let from = match *lease_span {
        // The renewal began while the row was still held, so the span continues.
        Some((from, held_until)) if begun <= held_until => from,
        _ => now,
    };
    *lease_span = Some((from, until));
    from
}

async fn read_leases(node: &Arc<Node>) {
    let begun = node.now();
    let Ok(rows) = node.table.list(membership::INSTANCE_PREFIX).await else {
        return;
    };
    let removed = {
        let mut members = lock(&node.members);
        members.on_rows(begun, &rows);
        members.expire(node.now(), REMOVE_AFTER)
    };
    let (known, deletions) = {
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
    for Transaction { conditions, writes } in deletions {
        if let Err(error) = node.table.commit(conditions, writes).await {
            log::debug!("event=lapsed-row-delete-failed error={error:?}");
        }
    }
    for name in removed {
        lock(&node.holder).forget(&name);
        node.ring
            .record(event(Kind::Peer, "forgotten").with("peer", name));
    }
    crate::group::apply(node);
}

async fn read_roster(node: &Arc<Node>) {
    let Ok(machines) = node.roster.machines().await else {
        return;
    };
    lock(&node.members).on_roster(&machines);
    crate::group::apply_roster(node, &machines);
}
