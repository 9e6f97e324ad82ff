//! Keeps the instance's lease row and reads those of the others.

use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use membership::Renewal;
use rand::Rng;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::node::Node;
use crate::node::lock;
use crate::task::call::CALL_TIMEOUT;
use crate::task::call::unanswered;

/// How long an instance counts as alive after it renewed its row; it renews four times as often.
pub const LEASE: Span = Span::from_secs(12);
/// The period of reads of all rows.
const LIST_EVERY: Span = Span::from_millis(3_000);
/// The period before a first other instance is known.
const FIRST_LIST_EVERY: Span = Span::from_millis(500);
/// Longest time between two looks at what is due.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Longest wait for the table at a planned stop.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);
/// Members are forgotten this long after their lease lapsed.
const FORGET_AFTER: Span = Span::from_secs(10);

/// Renews the lease and reads the members until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut next_list = node.now();
    loop {
        let now = node.now();
        if now >= lock(&node.keeper).due() {
            renew(&node).await;
        }
        if now >= next_list {
            list(&node).await;
            let knows_none = lock(&node.roll).members().next().is_none();
            let every = if knows_none {
                FIRST_LIST_EVERY
            } else {
                LIST_EVERY
            };
            next_list = now + every;
        }
        sleep(LOOK_EVERY).await;
    }
}

/// Gives the lease back at a planned stop.
pub async fn release(node: &Arc<Node>) {
    let renewal = lock(&node.keeper).release();
    let commit = node.parts.table.commit(renewal.conditions, renewal.writes);
    match timeout(RELEASE_TIMEOUT, commit).await {
        Ok(Ok(store::Outcome::Committed { .. })) => log::info!("event=lease-released"),
        other => log::warn!("event=lease-kept why=\"{other:?}\""),
    }
}

async fn renew(node: &Arc<Node>) {
    let jitter = rand::rng().random_range(0..1_000);
    if lock(&node.keeper).must_read() {
        let key = membership::instance_key(&node.options.name);
        let read = timeout(CALL_TIMEOUT, node.parts.table.get(&key)).await;
        let Ok(Ok(row)) = read else {
            log::debug!("event=lease-unread why=\"{read:?}\"");
            lock(&node.keeper).on_read_failed(node.now(), jitter);
            return;
        };
        lock(&node.keeper).on_row(row.as_ref());
    }
    let revision = node.revision().number;
    let begun = node.now();
    let Renewal { conditions, writes } = lock(&node.keeper).renewal(revision);
    let commit = timeout(CALL_TIMEOUT, node.parts.table.commit(conditions, writes)).await;
    let outcome = commit.unwrap_or_else(|_| Err(unanswered("renew the lease")));
    lock(&node.keeper).on_outcome(begun, node.now(), &outcome, jitter);
}

async fn list(node: &Arc<Node>) {
    let begun = node.now();
    let read = timeout(CALL_TIMEOUT, node.parts.table.list(membership::INSTANCES)).await;
    let Ok(Ok(rows)) = read else {
        log::debug!("event=members-unread why=\"{read:?}\"");
        return;
    };
    let (gone, swept) = {
        let mut roll = lock(&node.roll);
        roll.on_rows(begun, &rows);
        let gone = roll.expire(node.now(), FORGET_AFTER);
        (gone, roll.sweep(node.now()))
    };
    for name in gone {
        log::info!("event=member-forgotten member={name}");
    }
    for Renewal { conditions, writes } in swept {
        if let Err(error) = node.parts.table.commit(conditions, writes).await {
            log::debug!("event=sweep-failed why=\"{error}\"");
        }
    }
    node.share_connections();
}
