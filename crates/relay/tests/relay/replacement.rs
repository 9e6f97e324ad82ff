//! Failover of primaries, run by complete instances.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use relay::failover::Lease;
use relay::failover::Phase;
use relay::message::Code;
use relay::message::Statement;
use store::Table;
use test_case::test_case;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::GROUP;
use crate::world::World;

/// Upper bound of the time from a primary's failure to the next acknowledged write.
const WRITE_GAP_MAX: Duration = Duration::from_secs(4);

/// Retries a write until it succeeds; returns how long that took.
async fn write_until_success(client: &mut crate::world::Client, item: &str) -> Duration {
    let begun = Instant::now();
    loop {
        match client.write(item, "1").await {
            Ok(()) => return begun.elapsed(),
            Err(failure) => assert!(
                matches!(failure.code, Code::Busy | Code::InDoubt),
                "{failure:?}"
            ),
        }
        assert!(
            begun.elapsed() < Duration::from_secs(20),
            "no write succeeds"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_crashed_primary_is_replaced_by_the_replica_that_has_all() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    world.group.isolate("b", true);
    client.write("x", "kept").await.expect("c received it");
    world.group.crash("a");
    world.group.isolate("b", false);
    let gap = write_until_success(&mut client, "y").await;
    assert_eq!(world.group.leader().as_deref(), Some("c"));
    assert!(gap < WRITE_GAP_MAX, "the gap was {gap:?}");
    assert_eq!(client.read("x").await.as_deref(), Ok("kept"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

#[tokio::test(start_paused = true)]
async fn a_silent_primary_is_replaced_and_no_replica_stays_paused() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    world.group.set_silent("a", true);
    write_until_success(&mut client, "y").await;
    assert_ne!(world.group.leader().as_deref(), Some("a"));
    world.group.set_silent("a", false);
    sleep(Duration::from_secs(6)).await;
    assert!(world.group.paused().is_empty());
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

#[tokio::test(start_paused = true)]
async fn nobody_is_promoted_while_a_commit_could_be_lost() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    world.group.crash("b");
    world.group.crash("a");
    let failure = client.write("y", "1").await.expect_err("no primary");
    assert_eq!(failure.code, Code::Busy);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(world.group.leader(), None);
    assert!(
        world.group.orders().is_empty(),
        "{:?}",
        world.group.orders()
    );
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

#[tokio::test(start_paused = true)]
async fn a_primary_that_leaves_hands_over_without_a_failed_write() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    world.set_entry("a", 1, true);
    let begun = Instant::now();
    let mut writes = 0;
    while begun.elapsed() < Duration::from_secs(3) {
        client.write("y", "1").await.expect("no write fails");
        writes += 1;
        sleep(Duration::from_millis(20)).await;
    }
    assert_ne!(world.group.leader().as_deref(), Some("a"));
    assert_eq!(world.group.writes("y"), writes);
    let orders = world.group.orders();
    assert!(
        orders.iter().all(|order| &*order.server != "a"),
        "a promotion of the current primary could take effect after its demotion: {orders:?}"
    );
    let tokens: Vec<u64> = orders.iter().map(|order| order.token).collect();
    assert!(tokens.is_sorted(), "{tokens:?}");
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

#[tokio::test(start_paused = true)]
async fn a_primary_whose_commits_do_not_complete_is_replaced() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    world.group.lose_answer();
    let failure = client.write("y", "1").await.expect_err("stuck");
    assert_eq!(failure.code, Code::InDoubt);
    write_until_success(&mut client, "z").await;
    assert_eq!(world.group.writes("y"), 1, "the write was not sent again");
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

#[tokio::test]
async fn two_instances_agree_on_one_promotion() {
    let world = World::open();
    let first = world.start("i1").await;
    let second = world.start("i2").await;
    let mut one = first.connect("orders").await;
    let mut two = second.connect("orders").await;
    one.write("x", "1").await.expect("a write");
    two.write("x", "2").await.expect("a write");
    world.group.crash("a");
    tokio::join!(
        write_until_success(&mut one, "y"),
        write_until_success(&mut two, "y")
    );
    let orders = world.group.orders();
    let servers: std::collections::BTreeSet<Arc<str>> = orders
        .iter()
        .map(|order| Arc::clone(&order.server))
        .collect();
    assert_eq!(servers.len(), 1, "{orders:?}");
    for pair in orders.windows(2) {
        let is_same_holder = pair[0].holder == pair[1].holder;
        assert!(
            is_same_holder || pair[0].token < pair[1].token,
            "{orders:?}"
        );
    }
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

#[tokio::test]
async fn a_primary_with_a_lost_reply_is_kept_while_another_instance_commits() {
    let world = World::open();
    let first = world.start("i1").await;
    let second = world.start("i2").await;
    let mut one = first.connect("orders").await;
    let mut two = second.connect("orders").await;
    one.write("x", "1").await.expect("a write");
    // Instances discover each other by reading each other's membership lease.
    sleep(Duration::from_secs(2)).await;
    world.group.lose_answer();
    let lost = async {
        let failure = one.write("y", "1").await.expect_err("no answer");
        assert_eq!(failure.code, Code::InDoubt);
    };
    let others = async {
        for _ in 0..60 {
            sleep(Duration::from_millis(50)).await;
            two.write("z", "1").await.expect("commits go on");
        }
    };
    tokio::join!(lost, others);
    assert_eq!(world.group.leader().as_deref(), Some("a"));
    assert!(
        world.group.orders().is_empty(),
        "{:?}",
        world.group.orders()
    );
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

#[tokio::test(start_paused = true)]
async fn a_commit_without_writes_does_not_prove_leadership() {
    let world = World::open();
    let instance = world.start("i1").await;
    let mut reader = instance.connect("orders").await;
    let mut writer = instance.connect("orders").await;
    reader
        .run(Statement::Begin {
            is_read_only: false,
        })
        .await;
    reader.read("x").await.expect("a read");
    world.group.set_leader("b");
    write_until_success(&mut writer, "y").await;
    let committed = reader.run(Statement::Commit).await;
    assert!(committed.outcome.is_ok(), "the former primary allows it");
    let before = world.group.runs().len();
    writer.write("z", "1").await.expect("a write");
    let runs = world.group.runs().split_off(before);
    let servers: Vec<&str> = runs.iter().map(|run| &*run.server).collect();
    assert_eq!(servers, ["b"], "no write goes to the former primary");
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

#[tokio::test(start_paused = true)]
async fn an_instance_that_starts_later_counts_a_departed_replica() {
    let world = World::open();
    let first = world.start("i1").await;
    let mut client = first.connect("orders").await;
    world.set_entry("c", 3, true);
    world.group.join("d");
    world.set_entry("d", 4, false);
    sleep(Duration::from_secs(1)).await;
    // The entry is gone, but the replica still receives and acknowledges.
    world.servers.change(|rows| {
        rows.remove("c");
    });
    sleep(Duration::from_secs(3)).await;
    world.group.isolate("b", true);
    world.group.isolate("d", true);
    client.write("x", "kept").await.expect("c received it");
    drop(client);
    first.crash().await;
    let second = world.start("i1").await;
    let mut client = second.connect("orders").await;
    world.group.crash("a");
    world.group.isolate("b", false);
    world.group.isolate("d", false);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(8) && client.write("y", "1").await.is_err() {
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

#[tokio::test(start_paused = true)]
async fn a_departed_replica_that_is_gone_for_good_blocks_no_later_replacement() {
    let world = World::open();
    let first = world.start("i1").await;
    let mut client = first.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    world.set_entry("c", 3, true);
    world.group.join("d");
    world.set_entry("d", 4, false);
    sleep(Duration::from_secs(1)).await;
    world.servers.change(|rows| {
        rows.remove("c");
    });
    world.group.crash("c");
    sleep(Duration::from_secs(3)).await;
    client.write("x", "2").await.expect("a write without c");
    sleep(Duration::from_secs(3)).await;
    drop(client);
    first.crash().await;
    let second = world.start("i1").await;
    let mut client = second.connect("orders").await;
    world.group.crash("a");
    let gap = write_until_success(&mut client, "y").await;
    assert!(gap < WRITE_GAP_MAX, "the gap was {gap:?}");
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

#[tokio::test(start_paused = true)]
async fn a_replica_that_a_dead_holder_left_paused_is_resumed() {
    let world = World::open();
    let lease = Lease {
        holder: Arc::from("dead"),
        incarnation: 7,
        address: None,
        token: 3,
        phase: Phase::Working,
        commit_holders: BTreeSet::new(),
        leader: None,
        reign: None,
        end: None,
        requested: None,
        unanswered: None,
    };
    let (condition, write) = lease.compare_and_set(GROUP, None);
    let put = world.table.commit(vec![condition], vec![write]).await;
    put.expect("the table answers");
    world.group.pause("b", 2);
    let instance = world.start("i1").await;
    // Without writes, only the check for unfinished failovers can find the paused replica.
    sleep(Duration::from_secs(10)).await;
    assert!(
        world.group.paused().is_empty(),
        "{:?}",
        world.group.paused()
    );
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    assert_eq!(world.group.leader().as_deref(), Some("a"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

/// A group had no primary for seven seconds after all instances had been killed during its
/// replacement.
#[tokio::test(start_paused = true)]
async fn a_holder_that_restarts_goes_on_with_its_replacement_at_once() {
    let world = World::open_unchecked();
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    drop(client);
    instance.crash().await;
    let key = Lease::key(GROUP);
    let before = world.table.get(&key).await.expect("the table answers");
    let lease = Lease {
        holder: Arc::from("i1"),
        incarnation: 7,
        address: Some(world.peer("i1")),
        token: 3,
        phase: Phase::Working,
        commit_holders: ["a", "b", "c"].map(Arc::from).into(),
        leader: None,
        reign: None,
        end: None,
        requested: None,
        unanswered: None,
    };
    let (condition, write) = lease.compare_and_set(GROUP, before.as_ref());
    let put = world.table.commit(vec![condition], vec![write]).await;
    put.expect("the table answers");
    world.group.crash("a");
    let begun = Instant::now();
    let instance = world.spawn("i1");
    let mut client = instance.connect("orders").await;
    write_until_success(&mut client, "y").await;
    let gap = begun.elapsed();
    assert!(gap < WRITE_GAP_MAX, "the gap was {gap:?}");
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

/// A server that joins while a primary is replaced was in no survey: with it the old primary, which only
/// the instance that replaced it did not reach, acknowledged commits that the promoted server lacked.
#[test_case("a replica joins"; "a replica joins")]
#[test_case("a replica restarts"; "a paused replica restarts")]
#[tokio::test]
async fn a_primary_that_others_reach_acknowledges_nothing_once_its_successor_is_chosen(
    event: &str,
) {
    let world = World::open();
    let cut_off = world.start("i1").await;
    let other = world.start("i2").await;
    let mut client = other.connect("orders").await;
    client.write("x", "0").await.expect("a write");
    world.group.cut("i1", "a");
    let mut has_happened = false;
    for round in 1..400 {
        // A write of this time may fail or be in doubt; none that succeeded may be lost.
        let _outcome = client.write("x", &round.to_string()).await;
        if !has_happened && !world.group.orders().is_empty() {
            has_happened = true;
            match event {
                // It copies the log of the primary, if there still is one.
                "a replica joins" if world.group.leader().is_some() => world.group.join("d"),
                "a replica restarts" => world.group.resume("c"),
                _ => {}
            }
        }
        if world.group.leader().is_some_and(|leader| &*leader != "a") {
            break;
        }
        sleep(Duration::from_millis(5)).await;
    }
    drop(cut_off);
    assert!(has_happened, "the primary was replaced");
    assert_ne!(world.group.leader().as_deref(), Some("a"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

/// An instance that reaches neither the primary nor a replica had others demote the primary, and nobody
/// could be promoted.
#[tokio::test]
async fn a_primary_is_not_demoted_by_an_instance_that_reaches_no_server() {
    let world = World::open();
    let _cut_off = world.start("i1").await;
    let other = world.start("i2").await;
    let mut client = other.connect("orders").await;
    for server in ["a", "b", "c"] {
        world.group.cut("i1", server);
    }
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(3) {
        client.write("x", "1").await.expect("the primary stays");
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(world.group.leader().as_deref(), Some("a"));
}
