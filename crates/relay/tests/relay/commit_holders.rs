//! Which logs prove that a promoted server holds every acknowledged commit.

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
use crate::world::Instance;
use crate::world::World;

/// Upper bound of the time from a primary's failure to the next acknowledged write, if another server
/// may hold commits until its entry would have been written.
const WRITE_GAP_MAX: Duration = Duration::from_secs(6);
/// An outage after which no instance remembers a server by time alone.
const LONG_OUTAGE: Duration = Duration::from_secs(50);

/// Retries a write until it succeeds; returns how long that took.
async fn write_until_success(client: &mut Client) -> Duration {
    let begun = Instant::now();
    while let Err(failure) = client.write("y", "1").await {
        assert!(
            matches!(failure.code, Code::Busy | Code::InDoubt | Code::Timeout),
            "{failure:?}"
        );
        let elapsed = begun.elapsed();
        assert!(elapsed < Duration::from_secs(30), "no write in {elapsed:?}");
        sleep(Duration::from_millis(50)).await;
    }
    begun.elapsed()
}

/// Acknowledges a commit that only `a`, the primary, and `c` hold.
async fn commit_without_b(world: &World, instance: &Instance) -> Client {
    let mut client = instance.connect("orders").await;
    client.write("w", "1").await.expect("a write");
    world.group.isolate("b", true);
    client.write("x", "kept").await.expect("c received it");
    client
}

fn remove_entry(world: &World, name: &str) {
    world.servers.change(|rows| {
        rows.remove(name);
    });
}

fn assert_nobody_promoted(world: &World) {
    let orders = world.group.orders();
    assert!(orders.is_empty(), "{orders:?}");
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

/// A reply to a commit named the end of the primary's log, which held later records of other sessions
/// that no replica had received. No log reached that position, so a group had no primary for as long
/// as the crashed one was away: the incident of issue 50.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test(start_paused = true)]
async fn a_reply_with_a_later_position_than_the_commits_blocks_no_replacement(world: World) {
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("w", "1").await.expect("a write");
    world.group.isolate("b", true);
    world.group.overtake_next();
    client.write("x", "kept").await.expect("c received it");
    world.group.crash("a");
    world.group.isolate("b", false);
    let gap = write_until_success(&mut client).await;
    assert!(gap < WRITE_GAP_MAX, "the gap was {gap:?}");
    assert_eq!(world.group.leader().as_deref(), Some("c"));
    assert_eq!(client.read("x").await.as_deref(), Ok("kept"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

/// The rest of a log that ends before the highest position may be at a replica that has not registered.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test(start_paused = true)]
async fn a_replica_that_registers_after_it_confirmed_a_commit_is_surveyed(world: World) {
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("w", "1").await.expect("a write");
    for name in ["b", "c"] {
        world.group.isolate(name, true);
    }
    world.group.join("d");
    client.write("x", "kept").await.expect("d received it");
    world.group.crash("a");
    for name in ["b", "c"] {
        world.group.isolate(name, false);
    }
    sleep(Duration::from_millis(1_200)).await;
    world.set_entry("d", 4, false);
    write_until_success(&mut client).await;
    assert_eq!(world.group.leader().as_deref(), Some("d"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

/// A server that started again under its id counted as the holder that its former run had been, though
/// its log was gone.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test(start_paused = true)]
async fn a_replica_that_starts_again_without_its_log_proves_nothing(world: World) {
    let instance = world.start("i1").await;
    let mut client = commit_without_b(&world, &instance).await;
    world.group.crash("c");
    world.group.crash("a");
    world.group.restart_empty("c");
    world.set_restarted_entry("c", 3, 2, false);
    world.group.isolate("b", false);
    for _ in 0..20 {
        let failed = client.write("y", "1").await.expect_err("no primary");
        assert_eq!(failed.code, Code::Busy);
    }
    assert_nobody_promoted(&world);
    // The primary is back with its log, so the group can go on.
    world.group.restart("a");
    write_until_success(&mut client).await;
    assert_eq!(client.read("x").await.as_deref(), Ok("kept"));
}

/// Half a minute after its entry had expired a crashed primary was no longer counted, so one replica
/// that did not answer was left out although it alone held a commit.
#[test_case(World::open(), false; "fences are checked")]
#[test_case(World::open_unchecked(), false; "fences are unchecked")]
#[test_case(World::open(), true; "the instance starts again and fences are checked")]
#[test_case(World::open_unchecked(), true; "the instance starts again and fences are unchecked")]
#[tokio::test(start_paused = true)]
async fn a_primary_that_is_away_for_long_still_counts_as_a_holder(world: World, restarts: bool) {
    let mut instance = world.start("i1").await;
    let client = commit_without_b(&world, &instance).await;
    drop(client);
    world.group.crash("a");
    sleep(Duration::from_millis(100)).await;
    world.group.set_silent("c", true);
    world.group.isolate("b", false);
    remove_entry(&world, "a");
    sleep(Duration::from_secs(8)).await;
    if restarts {
        instance.crash().await;
        instance = world.spawn("i1");
    }
    sleep(LONG_OUTAGE).await;
    assert_nobody_promoted(&world);
    // The replica answers again, so its log can be read.
    world.group.set_silent("c", false);
    let mut client = instance.connect("orders").await;
    write_until_success(&mut client).await;
    assert_eq!(client.read("x").await.as_deref(), Ok("kept"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

/// A server that took over the address of a crashed one was taken to have its log.
#[tokio::test(start_paused = true)]
async fn a_server_at_the_address_of_a_crashed_primary_does_not_replace_it_as_a_holder() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = commit_without_b(&world, &instance).await;
    world.group.crash("a");
    sleep(Duration::from_millis(100)).await;
    world.group.set_silent("c", true);
    world.group.isolate("b", false);
    remove_entry(&world, "a");
    world.group.add_empty("e");
    world.set_entry("e", 1, false);
    for _ in 0..10 {
        let _failed = client.write("y", "1").await.expect_err("no primary");
    }
    assert_nobody_promoted(&world);
}

/// Guards against a group that can't replace its primary since a server left long ago, after which this
/// instance's callers committed nothing.
#[tokio::test(start_paused = true)]
async fn a_server_that_left_an_idle_group_blocks_no_replacement() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "kept").await.expect("a write");
    world.group.join("d");
    world.set_entry("d", 4, false);
    sleep(Duration::from_secs(1)).await;
    remove_entry(&world, "c");
    world.group.crash("c");
    sleep(LONG_OUTAGE).await;
    world.group.crash("a");
    let gap = write_until_success(&mut client).await;
    assert!(gap < WRITE_GAP_MAX, "the gap was {gap:?}");
    let leader = world.group.leader();
    assert!(
        leader
            .as_deref()
            .is_some_and(|name| ["b", "d"].contains(&name))
    );
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

/// Guards against a group that waits for ever for a replica that crashed shortly before the primary,
/// although commits were acknowledged without it.
#[tokio::test(start_paused = true)]
async fn a_replica_that_crashed_before_the_last_commits_blocks_a_replacement_for_a_while_only() {
    let world = World::open();
    world.group.join("d");
    world.set_entry("d", 4, false);
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("w", "1").await.expect("a write");
    world.group.crash("d");
    remove_entry(&world, "d");
    sleep(Duration::from_secs(8)).await;
    client.write("x", "kept").await.expect("a write without d");
    world.group.crash("a");
    remove_entry(&world, "a");
    sleep(LONG_OUTAGE).await;
    let gap = write_until_success(&mut client).await;
    assert!(gap < WRITE_GAP_MAX, "the gap was {gap:?}");
    assert_eq!(client.read("x").await.as_deref(), Ok("kept"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
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

/// An instance that started after a replica had started again without its log took it for the holder
/// that its former run had been.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test(start_paused = true)]
async fn a_later_instance_knows_the_runs_that_held_commits(world: World) {
    let instance = world.start("i1").await;
    let client = commit_without_b(&world, &instance).await;
    world.group.crash("a");
    wait_for_claim(&world).await;
    world.group.crash("c");
    world.group.isolate("b", false);
    drop(client);
    instance.crash().await;
    world.group.restart_empty("c");
    world.set_restarted_entry("c", 3, 2, false);
    // The replacement is a task of its own, which keeps the instance's address until it ends.
    sleep(Duration::from_secs(15)).await;
    let instance = world.spawn("i1");
    sleep(LONG_OUTAGE).await;
    assert_nobody_promoted(&world);
    world.group.restart("a");
    let mut client = instance.connect("orders").await;
    write_until_success(&mut client).await;
    assert_eq!(client.read("x").await.as_deref(), Ok("kept"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}
