//! Deletes recorded requests with idempotency keys once their retention is over.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use endpoint::Error;
use endpoint::Query;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use super::Handle;
use crate::node::Node;
use crate::node::lock;

/// The period of deletions.
const DELETE_EVERY: Duration = Duration::from_secs(60);

/// Deletes the requests recorded before a time.
const DELETE: &str = "DELETE FROM yuccamount_request WHERE created_ms < $1";

/// SQLSTATE of a missing table: no key was used yet.
const NO_TABLE: &str = "42P01";

/// Object identifier of the type `bigint`.
const BIGINT: u32 = 20;

/// Deletes what is over until the group is closed; one or two instances of a zone do so.
pub(super) async fn run(node: Arc<Node>, handle: Arc<Handle>) {
    let mut ticks = interval(DELETE_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = handle.stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let key = group::Row::key(&handle.name);
        if !lock(&node.members).is_poller(node.now(), &key) {
            continue;
        }
        if let Err(error) = delete(&node, &handle).await {
            log::debug!("step=retention group={} error={error:?}", handle.name);
        }
    }
}

async fn delete(node: &Arc<Node>, handle: &Arc<Handle>) -> Result<(), Error> {
    let Some(held) = node.held() else {
        return Ok(());
    };
    let effective = held.tree.resolve_group(&handle.name).unwrap_or_default();
    let Some((primary, _)) = handle.view(|view, now| view.primary(now)) else {
        return Ok(());
    };
    let retention_ms = effective.idempotency_retention_s.saturating_mul(1_000);
    let before = node.clock.wall_ms().saturating_sub(retention_ms);
    let before = i64::try_from(before).unwrap_or(i64::MAX);
    let query = Query::Extended {
        text: Arc::from(DELETE),
        types: vec![BIGINT],
        values: vec![Some(Bytes::copy_from_slice(&before.to_be_bytes()))],
    };
    let Some(lease) = handle.pool.try_acquire(&primary).await else {
        return Ok(());
    };
    let mut lease = lease?;
    match lease.run(&query).await {
        Ok(_) => {
            lease.release();
            Ok(())
        }
        Err(Error::Server { code, .. }) if &*code == NO_TABLE => {
            lease.release();
            Ok(())
        }
        Err(error) => Err(error),
    }
}
