//! Primaries that start again while they are replaced, with their logs or without.

use std::sync::Arc;
use std::time::Duration;

use relay::failover::Lease;
use relay::failover::Phase;
use relay::message::Code;
use store::Table;
use test_case::test_case;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::Client;
use crate::world::GROUP;
use crate::world::World;

/// Upper bound of the time from the return of a primary to the next acknowledged write.
const WRITE_GAP_MAX: Duration = Duration::from_secs(4);

/// Retries a write until it succeeds; returns how long that took.
async fn write_until_success(client: &mut Client) -> Duration {
    let begun = Instant::now();
    while let Err(failure) = client.write("y", "1").await {
        assert!(
            matches!(failure.code, Code::Busy | Code::InDoubt | Code::Timeout),
            "{failure:?}"
        );
        let elapsed = begun.elapsed();
        assert!(elapsed < Duration::from_secs(30), "no write: {failure:?}");
        sleep(Duration::from_millis(50)).await;
    }
    begun.elapsed()
}

/// Waits until a replacement is under way according to the table.
async fn wait_for_claim(world: &World) {
    for _ in 0..1_000 {
        let row = world.table.get(&Lease::key(GROUP)).await;
        let row = row.expect("the table answers");
        let lease = row.as_ref().and_then(Lease::parse);
        if lease.is_some_and(|lease| lease.phase == Phase::Working) {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
    panic!("no replacement begins");
}

fn port(server: &str) -> u16 {
    match server {
        "a" => 1,
        "b" => 2,
        _ => 3,
    }
}

/// A primary that started again without its log under its id was demoted as the former one, and every
/// replica had all of its empty log.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test(start_paused = true)]
async fn a_primary_that_starts_again_without_its_log_does_not_decide_its_succession(world: World) {
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("w", "1").await.expect("a write");
    world.group.isolate("b", true);
    client.write("x", "kept").await.expect("c received it");
    world.group.crash("a");
    world.group.restart_empty("a");
    world.group.isolate("b", false);
    world.set_restarted_entry("a", 1, 2, true);
    write_until_success(&mut client).await;
    assert_eq!(world.group.leader().as_deref(), Some("c"));
    assert_eq!(client.read("x").await.as_deref(), Ok("kept"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

/// The replacement went on probing over the connections to the former run of a primary that was back
/// with its log, so it didn't notice that for as long as other servers were missing.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test(start_paused = true)]
async fn a_primary_that_starts_again_with_its_log_ends_its_replacement(world: World) {
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "kept").await.expect("a write");
    world.group.crash("a");
    wait_for_claim(&world).await;
    for name in ["b", "c"] {
        world.group.set_silent(name, true);
    }
    sleep(Duration::from_secs(2)).await;
    for name in ["b", "c"] {
        world.group.set_silent(name, false);
    }
    world.group.crash("c");
    world.group.restart("a");
    world.set_restarted_entry("a", 1, 2, false);
    let gap = write_until_success(&mut client).await;
    assert!(gap < WRITE_GAP_MAX, "the gap was {gap:?}");
    assert_eq!(world.group.leader().as_deref(), Some("a"));
    assert_eq!(client.read("x").await.as_deref(), Ok("kept"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

/// An instance that had started while the appointed primary was away demoted it when it was back.
#[tokio::test(start_paused = true)]
async fn the_appointed_primary_is_not_demoted_when_it_is_back() {
    let world = World::open_unchecked();
    let first = world.start("i1").await;
    let second = world.start("i2").await;
    let mut client = first.connect("orders").await;
    client.write("w", "1").await.expect("a write");
    world.set_entry("a", 1, true);
    sleep(Duration::from_secs(4)).await;
    client.write("x", "kept").await.expect("a write");
    let leader = world.group.leader().expect("a leader");
    assert_ne!(&*leader, "a");
    world.set_entry("a", 1, false);
    world.group.join("d");
    world.set_entry("d", 4, false);
    sleep(Duration::from_secs(1)).await;
    drop(client);
    first.crash().await;
    second.crash().await;
    world.group.crash(&leader);
    world.servers.change(|rows| {
        rows.remove(&leader);
    });
    let orders = world.group.orders().len();
    let second = world.spawn("i2");
    // The replacement waits for the end of the first instance's leader lease.
    wait_for_claim(&world).await;
    world.group.restart(&leader);
    world.set_restarted_entry(&leader, port(&leader), 2, false);
    let mut client = second.connect("orders").await;
    let gap = write_until_success(&mut client).await;
    assert!(gap < WRITE_GAP_MAX, "the gap was {gap:?}");
    assert_eq!(world.group.leader(), Some(Arc::clone(&leader)));
    assert_eq!(world.group.orders().len(), orders);
    assert_eq!(client.read("x").await.as_deref(), Ok("kept"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

/// A promoted server's positions stay in the earlier term until its first commit, so a replacement of it
/// paused replicas with a term that they had already seen, which had no effect.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test(start_paused = true)]
async fn a_promoted_server_that_has_committed_nothing_is_replaced(world: World) {
    world.group.report_log_terms();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "kept").await.expect("a write");
    world.group.crash("a");
    sleep(Duration::from_secs(6)).await;
    let leader = world.group.leader().expect("a successor");
    world.group.restart("a");
    sleep(Duration::from_secs(1)).await;
    world.group.crash(&leader);
    let gap = write_until_success(&mut client).await;
    assert!(gap < WRITE_GAP_MAX, "the gap was {gap:?}");
    assert_eq!(client.read("x").await.as_deref(), Ok("kept"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}
