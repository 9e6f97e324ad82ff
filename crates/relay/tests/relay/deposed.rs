//! Primaries that go on as such after their replacement, until they are demoted.

use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use relay::failover::Lease;
use relay::failover::Phase;
use relay::message::Code;
use store::Condition;
use store::Outcome;
use store::Table;
use store::Write;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::Client;
use crate::world::GROUP;
use crate::world::World;

/// Upper bound of the time from a primary's failure to the next acknowledged write, if no instance
/// that may use the primary is out of reach.
const WRITE_GAP_MAX: Duration = Duration::from_secs(4);

/// Retries a write until it succeeds; returns how long that took.
async fn write_until_success(client: &mut Client, item: &str, data: &str) -> Duration {
    let begun = Instant::now();
    while let Err(failure) = client.write(item, data).await {
        assert!(
            matches!(failure.code, Code::Busy | Code::InDoubt),
            "{failure:?}"
        );
        assert!(begun.elapsed() < Duration::from_secs(20), "no write");
        sleep(Duration::from_millis(50)).await;
    }
    begun.elapsed()
}

/// Reads until an answer arrives and checks it.
async fn read_until_success(client: &mut Client, item: &str, expected: &str) {
    let begun = Instant::now();
    loop {
        match client.read(item).await {
            Ok(value) => {
                assert_eq!(value, expected, "a read missed an acknowledged write");
                return;
            }
            Err(failure) => assert_eq!(failure.code, Code::Busy, "{failure:?}"),
        }
        assert!(begun.elapsed() < Duration::from_secs(20), "no read");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Instances refused reads of the latest state for 0.7 s after each start, as they read who leads
/// before their registration and then not until the next interval.
#[tokio::test(start_paused = true)]
async fn an_instance_that_accepts_callers_may_read_at_the_primary() {
    let world = World::open_unchecked();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    drop(client);
    instance.crash().await;
    let instance = world.spawn("i1");
    let mut client = instance.connect("orders").await;
    assert_eq!(client.read("x").await.as_deref(), Ok("1"));
}

#[tokio::test(start_paused = true)]
async fn a_replaced_primary_that_goes_on_is_not_read() {
    let world = World::open_unchecked();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    world.group.set_silent("a", true);
    let gap = write_until_success(&mut client, "x", "2").await;
    assert!(gap < WRITE_GAP_MAX, "the gap was {gap:?}");
    let leader = world.group.leader().expect("a leader");
    assert_ne!(&*leader, "a");
    // The instance loses sight of the new primary while the former one answers again.
    world.group.set_silent("a", false);
    world.group.set_silent(&leader, true);
    sleep(Duration::from_secs(1)).await;
    for _ in 0..100 {
        if let Ok(value) = client.read("x").await {
            assert_eq!(value, "2", "a read missed an acknowledged write");
        }
        sleep(Duration::from_millis(20)).await;
    }
    world.group.set_silent(&leader, false);
    read_until_success(&mut client, "x", "2").await;
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

#[tokio::test]
async fn an_instance_cut_off_with_the_primary_stops_reading_it_before_another_is_promoted() {
    let world = World::open_unchecked();
    let first = world.start("i1").await;
    let (second, outpost) = world.start_apart("i2").await;
    let mut one = first.connect("orders").await;
    let mut two = second.connect("orders").await;
    one.write("x", "0").await.expect("a write");
    read_until_success(&mut two, "x", "0").await;
    // Both know each other's registration.
    sleep(Duration::from_secs(4)).await;
    outpost.cut();
    world.group.cut("i1", "a");
    for server in ["b", "c"] {
        world.group.cut("i2", server);
    }
    // The cut-off instance goes on serving until the other may have replaced the primary.
    let value = two.read("x").await;
    assert_eq!(value.as_deref(), Ok("0"), "reads go on right after the cut");
    let mut acknowledged = 0;
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(9) {
        if one
            .write("x", &format!("{}", acknowledged + 1))
            .await
            .is_ok()
        {
            acknowledged += 1;
        }
        if let Ok(value) = two.read("x").await {
            assert_eq!(value, acknowledged.to_string(), "a read was stale");
        }
    }
    assert!(acknowledged > 0, "the primary was replaced");
    assert_ne!(world.group.leader().as_deref(), Some("a"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

/// Removes the group's lease row, as if the table had returned from a copy without it.
async fn lose_lease(world: &World) {
    let key = Lease::key(GROUP);
    let row = world.table.get(&key).await.expect("a read");
    let version = row.expect("a row").version;
    let condition = Condition::Version {
        key: Arc::clone(&key),
        version,
    };
    let deleted = world
        .table
        .commit(vec![condition], vec![Write::Delete { key }])
        .await;
    assert!(matches!(deleted, Ok(Outcome::Committed { .. })));
}

#[tokio::test(start_paused = true)]
async fn a_replacement_that_the_table_forgot_is_written_again_and_not_undone() {
    let world = World::open_unchecked();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    world.group.set_silent("a", true);
    write_until_success(&mut client, "x", "2").await;
    let leader = world.group.leader().expect("a leader");
    sleep(Duration::from_secs(5)).await;
    world.group.set_silent("a", false);
    lose_lease(&world).await;
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(6) {
        if let Ok(value) = client.read("x").await {
            assert_eq!(value, "2", "a read missed an acknowledged write");
        }
        sleep(Duration::from_millis(20)).await;
    }
    let row = world.table.get(&Lease::key(GROUP)).await.expect("a read");
    let lease = row.as_ref().and_then(Lease::parse).expect("a lease");
    // Replicas are resumed as long as the former primary does not answer.
    assert_ne!(lease.phase, Phase::Working);
    assert!(lease.leader.is_some(), "the row names the leader");
    assert_eq!(world.group.leader(), Some(leader), "nobody was promoted");
    read_until_success(&mut client, "x", "2").await;
}

#[tokio::test(start_paused = true)]
async fn a_fencing_token_is_not_used_again_after_the_table_forgot_it() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    for _ in 0..2 {
        let leader = world.group.leader().expect("a leader");
        world.group.set_silent(&leader, true);
        write_until_success(&mut client, "x", "1").await;
        world.group.set_silent(&leader, false);
        sleep(Duration::from_secs(5)).await;
        lose_lease(&world).await;
    }
    let orders = world.group.orders();
    let tokens: Vec<u64> = orders.iter().map(|order| order.token).collect();
    assert!(tokens.len() >= 2, "{tokens:?}");
    assert!(
        tokens.windows(2).all(|pair| pair[0] < pair[1]),
        "{tokens:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_was_suspended_orders_nothing_after_another_took_over() {
    let world = World::open_unchecked();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    world.group.lose_orders();
    world.group.set_silent("a", true);
    let begun = Instant::now();
    while world.group.orders().is_empty() {
        assert!(begun.elapsed() < Duration::from_secs(10), "no order");
        sleep(Duration::from_millis(10)).await;
    }
    // The machine is suspended until another instance has taken the lease over.
    instance.suspend(Span::from_secs(5));
    let key = Lease::key(GROUP);
    let row = world.table.get(&key).await.expect("a read").expect("a row");
    let lease = Lease::parse(&row).expect("a lease");
    let successor = Lease {
        holder: Arc::from("i2"),
        incarnation: lease.incarnation + 1,
        token: lease.token + 1,
        ..lease
    };
    let (condition, write) = successor.compare_and_set(GROUP, Some(&row));
    let taken = world.table.commit(vec![condition], vec![write]).await;
    assert!(matches!(taken, Ok(Outcome::Committed { .. })));
    let before = world.group.orders().len();
    sleep(Duration::from_secs(2)).await;
    let after = world.group.orders().split_off(before);
    assert_eq!(after, [], "the former holder went on");
}
