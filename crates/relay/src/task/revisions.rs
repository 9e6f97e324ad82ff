//! Follows the settings and confirms that the known keys are current.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use clock::Time;
use store::Change;
use store::Progress;
use store::version;

use crate::evacuation::Transition;
use crate::node::Node;
use crate::node::lock;
use crate::peers::Confirmation;
use crate::peers::Topic;
use crate::settings::Directive;
use crate::task::confirmation;
use crate::task::follower::Follower;
use crate::task::follower::Update;

/// How long the store holds a call that waits for changes. Each reply confirms that the keys are in
/// force, so this is well below their grace period. A store may hold changes back for a second
/// before it drops its history; this is longer, so that no reply falls into that second.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1_300);
/// Maximum wait for another instance's response: `LONG_POLL_WAIT` plus time for a slow store and
/// the network. Losing one query must not take an instance out of rotation.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Once the last confirmation is this old, the store is asked to reply without waiting for changes:
/// the call that brought large settings may have begun long ago.
const CONFIRMATION_AGE_MAX: Span = Span::from_secs(2);

/// Transactions at servers of an evacuated zone are rolled back this long before the bound: half a
/// second lets the last statement, sent just before, arrive over a slow link.
const TRANSACTION_MARGIN: Span = Span::from_millis(500);

/// Follows the settings until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut follower = Follower::open(&node.dependencies.directives, "settings");
    let mut is_known = false;
    loop {
        let poller = confirmation::choose_poller(&node, Topic::Settings).filter(|_| is_known);
        let Some(poller) = poller else {
            is_known = poll_store(&node, &mut follower).await
                || (follower.is_failing() && confirm_by_other(&node).await);
            continue;
        };
        is_known = query_peer(&node, poller).await;
        if !is_known {
            // The store may have dropped the history since the last call.
            follower.restart();
        }
    }
}

/// Polls the store for changes; returns whether it replied.
async fn poll_store(node: &Arc<Node>, follower: &mut Follower<Directive>) -> bool {
    let confirmed = lock(&node.readiness).confirmed();
    let is_late = confirmed.is_some_and(|at| node.now() >= at + CONFIRMATION_AGE_MAX);
    let mut wait = if is_late {
        Duration::ZERO
    } else {
        LONG_POLL_WAIT
    };
    loop {
        let begun = node.now();
        let progress = Arc::new(Progress::default());
        follower.set_fleet_size(node.fleet_size());
        *lock(&node.settings_reply) = Arc::clone(&progress);
        let update = tokio::select! {
            update = follower.next(wait, &progress) => update,
            // A caller was refused because the keys are unconfirmed, so the call is repeated
            // without waiting.
            () = refused_before_reply(node, &progress), if wait > Duration::ZERO => {
                wait = Duration::ZERO;
                continue;
            }
        };
        *lock(&node.settings_reply) = Arc::default();
        let Some(update) = update else {
            return false;
        };
        apply(node, update);
        confirm(node, begun, node.revision().number);
        let number = node.confirmation_number();
        confirmation::respond(node, Topic::Settings, begun, number).await;
        return true;
    }
}

/// Waits until a caller is refused because the keys are unconfirmed; never returns once the reply
/// has begun, since its end confirms them.
async fn refused_before_reply(node: &Node, progress: &Progress) {
    node.key_unknown.notified().await;
    if progress.received() > 0 {
        std::future::pending().await
    }
}

/// After the store has not replied to this instance, asks one that may reach it; returns whether the
/// settings are confirmed.
///
/// Every second attempt goes to an instance that reads the store for others, so that a store that
/// refuses many instances gets fewer calls and those instances keep their keys in force.
async fn confirm_by_other(node: &Arc<Node>) -> bool {
    let other = confirmation::choose_other_poller(node, Topic::Settings);
    let Some(other) = other.filter(|_| node.revision().number > 0) else {
        return false;
    };
    let answer = confirmation::query(node, other, Topic::Settings, PEER_TIMEOUT).await;
    apply_confirmation(node, answer)
}

/// Queries another instance for the store's next confirmation; returns whether the settings are
/// confirmed.
async fn query_peer(node: &Arc<Node>, address: SocketAddr) -> bool {
    let answer = tokio::select! {
        answer = confirmation::query(node, address, Topic::Settings, PEER_TIMEOUT) => answer,
        () = node.key_unknown.notified() => return false,
    };
    apply_confirmation(node, answer)
}

/// Applies another instance's confirmation; returns whether it is one of the known settings.
fn apply_confirmation(node: &Node, answer: Option<Confirmation>) -> bool {
    let Some(answer) = answer else {
        return false;
    };
    let revision = node.revision().number;
    if !lock(&node.evacuations).are_confirmed_by(revision, answer.revision) {
        return false;
    }
    confirm(node, answer.at, answer.revision.min(revision));
    true
}

/// Records that `revision` was the store's newest at `at`.
fn confirm(node: &Node, at: Time, revision: u64) {
    lock(&node.keyring).on_confirmed(at, revision);
    lock(&node.readiness).on_confirmed(at);
}

fn apply(node: &Arc<Node>, update: Update<Directive>) {
    let Update {
        batch, is_snapshot, ..
    } = update;
    let mut rows = Vec::new();
    for Change { name, value } in batch.changes {
        match (Directive::zone(&name), value) {
            (Some(zone), value) => rows.push((zone, value.is_some())),
            (None, Some(Directive::Settings(revision))) => node.apply(revision),
            (None, _) => log::error!("event=settings-unreadable row={name}"),
        }
    }
    if let Some(bound) = node.options.evacuation_bound {
        apply_evacuations(node, bound, batch.version, is_snapshot, &rows);
    }
}

/// Applies the rows of evacuated zones and of those whose row was removed.
fn apply_evacuations(
    node: &Node,
    bound: Span,
    version: u64,
    is_snapshot: bool,
    rows: &[(Arc<str>, bool)],
) {
    let now = node.now();
    let era = version::era(version);
    // The row was written after the last confirmation, which did not show it yet.
    let confirmed = lock(&node.readiness).confirmed().unwrap_or_default();
    let deadline = (confirmed + bound) - TRANSACTION_MARGIN;
    let (transitions, unconfirmed): (Vec<Transition>, _) = {
        let mut evacuations = lock(&node.evacuations);
        if is_snapshot {
            let present = rows.iter().filter(|(_, is_present)| *is_present);
            let zones = present.map(|(zone, _)| Arc::clone(zone)).collect();
            let transitions = evacuations.on_snapshot(now, deadline, era, &zones);
            (transitions, evacuations.unrecorded(era))
        } else {
            let changes = rows
                .iter()
                .filter_map(|(zone, is_present)| match is_present {
                    true => evacuations.on_row(deadline, era, zone),
                    false => evacuations.on_removed(now, zone),
                });
            (changes.collect(), Vec::new())
        }
    };
    node.on_evacuations(version, &transitions);
    for zone in unconfirmed {
        log::warn!("event=evacuation-row-missing zone={zone} era={era}");
    }
}
