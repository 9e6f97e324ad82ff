//! Promotions that the platform carries out long after it was asked, without an answer.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use clock::Time;
use relay::failover::Lease;
use relay::failover::Phase;
use relay::failover::Tracker;
use relay::failover::Unanswered;
use relay::message::Code;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::Client;
use crate::world::World;

/// How late the platform carries out an order.
const ORDER_DELAY: Duration = Duration::from_millis(4_500);
/// The limit of each wait for something that a test needs.
const WAIT_MAX: Duration = Duration::from_secs(30);

fn lease(phase: Phase, requested: Option<&str>, unanswered: Option<Unanswered>) -> Lease {
    Lease {
        holder: Arc::from("i1"),
        incarnation: 7,
        address: None,
        token: 3,
        phase,
        commit_holders: BTreeSet::new(),
        leader: None,
        reign: None,
        end: None,
        requested: requested.map(Arc::from),
        unanswered: unanswered.map(Box::new),
        evidence: None,
    }
}

fn unanswered(token: u64, count: u64) -> Unanswered {
    Unanswered {
        server: Arc::from("b"),
        token,
        count,
    }
}

/// A holder that died after it had requested a promotion may have ordered it without an answer.
#[test]
fn a_request_of_an_unfinished_replacement_may_be_carried_out() {
    let recorded = unanswered(3, 2);
    let dead = lease(Phase::Working, Some("b"), Some(recorded.clone()));
    assert_eq!(dead.pending_order().as_deref(), Some(&unanswered(3, 3)));
    let dead = lease(Phase::Working, Some("b"), Some(unanswered(2, 2)));
    assert_eq!(dead.pending_order().as_deref(), Some(&unanswered(3, 1)));
    let ended = lease(Phase::Done, None, Some(recorded.clone()));
    assert_eq!(ended.pending_order().as_deref(), Some(&recorded));
    let ended = lease(Phase::Done, None, None);
    assert_eq!(ended.pending_order(), None);
}

/// The time in which an order may be carried out counts from the last order, and rereading the row
/// doesn't prolong it.
#[test]
fn an_order_is_pending_for_a_while_after_it_was_learned() {
    let (tracker, group) = (Tracker::default(), Arc::from("g"));
    let at = |seconds| Time::ZERO + Span::from_secs(seconds);
    let first = unanswered(3, 1);
    assert!(
        tracker.is_pending(at(100), &group, &first),
        "it is not known"
    );
    tracker.on_order(at(10), &group, &first);
    tracker.on_order(at(14), &group, &first);
    assert!(tracker.is_pending(at(14), &group, &first));
    assert!(!tracker.is_pending(at(15), &group, &first));
    let second = unanswered(3, 2);
    tracker.on_order(at(20), &group, &second);
    assert!(tracker.is_pending(at(24), &group, &second));
}

async fn write_until_success(client: &mut Client, data: &str) {
    let begun = Instant::now();
    while let Err(failure) = client.write("x", data).await {
        assert!(
            matches!(failure.code, Code::Busy | Code::InDoubt),
            "{failure:?}"
        );
        assert!(begun.elapsed() < WAIT_MAX, "no write");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Lets the platform carry out the first order late, and waits until another order has had its server
/// promoted; returns the server.
async fn promote_with_late_order(world: &World, client: &mut Client) -> Arc<str> {
    world.group.delay_orders(Some(ORDER_DELAY));
    world.group.set_silent("a", true);
    let begun = Instant::now();
    while world.group.orders().is_empty() {
        assert!(begun.elapsed() < WAIT_MAX, "no order");
        sleep(Duration::from_millis(5)).await;
    }
    world.group.delay_orders(None);
    write_until_success(client, "2").await;
    world.group.leader().expect("a leader")
}

/// The platform carried out an order that had got no answer once another server led, which had
/// acknowledged commits that the server of the order lacks.
#[tokio::test(start_paused = true)]
async fn a_promotion_that_is_carried_out_late_loses_no_commit() {
    let world = World::open_unchecked();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    let leader = promote_with_late_order(&world, &mut client).await;
    // The former primary is back, and the new one goes dark before the late order is carried out.
    world.group.set_silent("a", false);
    world.group.set_silent(&leader, true);
    write_until_success(&mut client, "3").await;
    assert_ne!(world.group.leader(), Some(leader), "another server leads");
    sleep(ORDER_DELAY * 2).await;
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

/// The wait of the test above is only for orders without an answer, and only for another server.
#[tokio::test(start_paused = true)]
async fn a_primary_is_replaced_at_once_if_every_order_was_answered() {
    let world = World::open_unchecked();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    world.group.set_silent("a", true);
    write_until_success(&mut client, "2").await;
    let leader = world.group.leader().expect("a leader");
    world.group.set_silent("a", false);
    world.group.set_silent(&leader, true);
    let begun = Instant::now();
    write_until_success(&mut client, "3").await;
    let gap = begun.elapsed();
    assert!(gap < Duration::from_secs(4), "the gap was {gap:?}");
}
