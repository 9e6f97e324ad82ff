//! Evacuation of zones, by complete instances.

use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use relay::message::Code;
use relay::message::State;
use relay::message::Statement;
use store::Table;
use store::version;
use test_case::test_case;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::Client;
use crate::world::Instance;
use crate::world::World;
use crate::world::revision;

/// The bound after which no request may reach a server in an evacuated zone.
const BOUND: Span = Span::from_secs(5);

/// Returns the servers that run the statements of `work` from now on.
fn servers_since(world: &World, first: usize) -> Vec<Arc<str>> {
    let runs = world.group.runs().split_off(first);
    runs.into_iter().map(|run| run.server).collect()
}

/// Reads for `time`; returns the servers that ran the reads.
async fn read_for(world: &World, client: &mut Client, time: Duration) -> Vec<Arc<str>> {
    let first = world.group.runs().len();
    let begun = Instant::now();
    while begun.elapsed() < time {
        client.read("x").await.expect("a read");
        sleep(Duration::from_millis(20)).await;
    }
    servers_since(world, first)
}

fn begin(is_read_only: bool) -> Statement {
    Statement::Begin { is_read_only }
}

/// Starts two instances, of which each learns of changes from the other or from the store.
async fn start_two(world: &World) -> [Instance; 2] {
    [world.start("i1").await, world.start("i2").await]
}

#[tokio::test(start_paused = true)]
async fn no_request_reaches_an_evacuated_zone_after_the_bound_until_the_end() {
    let world = World::open_evacuable(BOUND);
    let instances = start_two(&world).await;
    let second = Duration::from_secs(1);
    for instance in &instances {
        let mut client = instance.connect("gallery").await;
        let servers = read_for(&world, &mut client, second).await;
        assert!(servers.contains(&Arc::from("b")), "{servers:?}");
    }
    world.evacuate("b");
    sleep(BOUND.into()).await;
    for instance in &instances {
        let mut client = instance.connect("gallery").await;
        let servers = read_for(&world, &mut client, 4 * second).await;
        assert!(!servers.contains(&Arc::from("b")), "{servers:?}");
    }
    world.end_evacuation("b");
    sleep(BOUND.into()).await;
    for instance in &instances {
        let mut client = instance.connect("gallery").await;
        let servers = read_for(&world, &mut client, second).await;
        assert!(servers.contains(&Arc::from("b")), "{servers:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn without_the_setting_evacuations_are_not_followed() {
    let world = World::open();
    world.set_zones();
    let instance = world.start("i1").await;
    let mut client = instance.connect("gallery").await;
    world.evacuate("b");
    sleep(BOUND.into()).await;
    let servers = read_for(&world, &mut client, Duration::from_secs(1)).await;
    assert!(servers.contains(&Arc::from("b")), "{servers:?}");
}

#[tokio::test(start_paused = true)]
async fn an_unknown_zone_changes_nothing() {
    let world = World::open_evacuable(BOUND);
    let instance = world.start("i1").await;
    let mut client = instance.connect("gallery").await;
    world.evacuate("nowhere");
    sleep(BOUND.into()).await;
    let servers = read_for(&world, &mut client, Duration::from_secs(1)).await;
    assert!(servers.contains(&Arc::from("b")), "{servers:?}");
    assert_eq!(world.group.leader().as_deref(), Some("a"));
}

/// The row is in the store, so an instance obeys it from its first statement.
#[tokio::test(start_paused = true)]
async fn an_evacuation_survives_a_restart_of_all_instances() {
    let world = World::open_evacuable(BOUND);
    let instance = world.start("i1").await;
    world.evacuate("b");
    sleep(BOUND.into()).await;
    instance.crash().await;
    let instance = world.start("i1").await;
    let mut client = instance.connect("gallery").await;
    let servers = read_for(&world, &mut client, Duration::from_secs(2)).await;
    assert!(!servers.contains(&Arc::from("b")), "{servers:?}");
}

#[tokio::test(start_paused = true)]
async fn an_instance_without_contact_to_the_store_keeps_its_state() {
    let world = World::open_evacuable(BOUND);
    let instance = world.start_lenient("i1").await;
    let mut client = instance.connect("gallery").await;
    let servers = read_for(&world, &mut client, Duration::from_secs(1)).await;
    assert!(servers.contains(&Arc::from("b")), "{servers:?}");
    world.evacuate("b");
    sleep(BOUND.into()).await;
    world.directives.set_down(true);
    world.end_evacuation("b");
    let servers = read_for(&world, &mut client, Duration::from_secs(3)).await;
    assert!(!servers.contains(&Arc::from("b")), "{servers:?}");
    world.directives.set_down(false);
    sleep(BOUND.into()).await;
    let servers = read_for(&world, &mut client, Duration::from_secs(1)).await;
    assert!(servers.contains(&Arc::from("b")), "{servers:?}");
}

/// The operator's row was acknowledged, so the evacuation must outlast the loss of the row.
#[tokio::test(start_paused = true)]
async fn an_evacuation_survives_a_store_that_returns_without_its_row() {
    let world = World::open_evacuable(BOUND);
    let instance = world.start("i1").await;
    let mut client = instance.connect("gallery").await;
    let servers = read_for(&world, &mut client, Duration::from_secs(1)).await;
    assert!(servers.contains(&Arc::from("b")), "{servers:?}");
    world.evacuate("b");
    sleep(BOUND.into()).await;
    world.end_evacuation("b");
    world.directives.set_version(version::join(1, 1));
    sleep(BOUND.into()).await;
    let servers = read_for(&world, &mut client, Duration::from_secs(1)).await;
    assert!(!servers.contains(&Arc::from("b")), "{servers:?}");
    let row = world.table.get("op/evacuate/b").await.expect("a read");
    assert!(row.is_none(), "only the operator may write the row");
    // The operator writes the row again, as it does after each return, and later removes it.
    world.evacuate("b");
    sleep(BOUND.into()).await;
    world.end_evacuation("b");
    sleep(BOUND.into()).await;
    let servers = read_for(&world, &mut client, Duration::from_secs(1)).await;
    assert!(servers.contains(&Arc::from("b")), "{servers:?}");
}

#[tokio::test(start_paused = true)]
async fn a_primary_in_an_evacuated_zone_hands_over_without_a_failed_write() {
    let world = World::open_evacuable(BOUND);
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    // Both zones are evacuated at once, so only one server may be promoted.
    world.evacuate("a");
    world.evacuate("b");
    let begun = Instant::now();
    let mut writes = 0;
    while begun.elapsed() < Duration::from_secs(4) {
        client.write("y", "1").await.expect("no write fails");
        writes += 1;
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(world.group.leader().as_deref(), Some("c"));
    assert_eq!(world.group.writes("y"), writes);
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
    let orders = world.group.orders();
    assert!(
        orders.iter().all(|order| &*order.server == "c"),
        "{orders:?}"
    );
}

/// A replica in the zone may be the only one that holds the last commits.
#[tokio::test(start_paused = true)]
async fn a_server_in_an_evacuated_zone_is_not_promoted_even_if_only_it_has_all() {
    let world = World::open_evacuable(BOUND);
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    world.group.isolate("c", true);
    client.write("x", "kept").await.expect("b received it");
    world.evacuate("b");
    sleep(Duration::from_secs(2)).await;
    world.group.crash("a");
    sleep(Duration::from_secs(10)).await;
    assert!(
        world.group.orders().is_empty(),
        "{:?}",
        world.group.orders()
    );
    world.end_evacuation("b");
    sleep(Duration::from_secs(10)).await;
    assert_eq!(client.read("x").await.as_deref(), Ok("kept"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

#[tokio::test(start_paused = true)]
async fn a_primary_that_dies_in_an_evacuated_zone_is_replaced() {
    let world = World::open_evacuable(BOUND);
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "kept").await.expect("a write");
    world.group.set_silent("a", true);
    world.evacuate("a");
    sleep(BOUND.into()).await;
    client.write("y", "1").await.expect("a new primary");
    assert_eq!(client.read("x").await.as_deref(), Ok("kept"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

#[tokio::test(start_paused = true)]
async fn an_evacuation_that_ends_during_the_replacement_leaves_a_primary() {
    for pause in (0..600).step_by(60) {
        let world = World::open_evacuable(BOUND);
        let instance = world.start("i1").await;
        let mut client = instance.connect("orders").await;
        client.write("x", "kept").await.expect("a write");
        world.evacuate("a");
        sleep(Duration::from_millis(pause)).await;
        world.end_evacuation("a");
        sleep(BOUND.into()).await;
        client.write("y", "1").await.expect("a primary leads");
        assert_eq!(client.read("x").await.as_deref(), Ok("kept"));
        assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
        assert!(world.group.paused().is_empty());
    }
}

/// Callers must learn at once that nobody can run their statements, and that these did not run.
#[tokio::test(start_paused = true)]
async fn a_group_whose_zones_are_all_evacuated_refuses_at_once() {
    let world = World::open_evacuable(BOUND);
    let instance = world.start("i1").await;
    let mut orders = instance.connect("orders").await;
    let mut gallery = instance.connect("gallery").await;
    for zone in ["a", "b", "c"] {
        world.evacuate(zone);
    }
    sleep(BOUND.into()).await;
    let first = world.group.runs().len();
    let promotions = world.group.orders();
    let begun = Instant::now();
    let written = orders.write("x", "1").await.expect_err("no server");
    let read = gallery.read("x").await.expect_err("no server");
    assert!(begun.elapsed() < Duration::from_millis(100));
    for failure in [written, read] {
        assert_eq!(failure.code, Code::Busy);
        assert!(failure.text.contains("retry-after"), "{failure:?}");
    }
    orders.run(begin(false)).await;
    let failure = orders.write("x", "1").await.expect_err("no server");
    assert_eq!(failure.code, Code::Busy);
    orders.run(Statement::Rollback).await;
    assert!(servers_since(&world, first).is_empty());
    sleep(Duration::from_secs(5)).await;
    assert_eq!(world.group.orders(), promotions, "nobody is promoted");
    world.end_evacuation("b");
    sleep(BOUND.into()).await;
    orders.write("x", "1").await.expect("b serves again");
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

#[tokio::test(start_paused = true)]
async fn an_open_transaction_goes_on_and_is_aborted_before_the_bound() {
    let world = World::open_evacuable(BOUND);
    // The idle timeout must not end the transactions first.
    world.set_revision(patient(2));
    let instance = world.start("i1").await;
    let mut active = instance.connect("gallery").await;
    let mut idle = instance.connect("gallery").await;
    for client in [&mut active, &mut idle] {
        client.run(begin(true)).await;
        client.read("x").await.expect("a read");
        let last = world.group.runs().pop().expect("a run");
        assert_eq!(&*last.server, "b");
    }
    let begun = Instant::now();
    world.evacuate("b");
    sleep(Duration::from_millis(1_500)).await;
    active.read("x").await.expect("the transaction goes on");
    let mut runs = world.group.runs().len();
    let aborted = loop {
        match active.read("x").await {
            Ok(_) => runs = world.group.runs().len(),
            Err(failure) => break failure,
        }
        assert!(begun.elapsed() < BOUND.into(), "it ends before the bound");
        sleep(Duration::from_millis(10)).await;
    };
    assert!(
        matches!(aborted.code, Code::Aborted | Code::Malformed),
        "{aborted:?}"
    );
    let committed = active.run(Statement::Commit).await;
    assert_eq!(committed.code(), Some(Code::Aborted));
    assert_eq!(committed.state, State::Idle);
    sleep(BOUND.into()).await;
    let committed = idle.run(Statement::Commit).await;
    assert_eq!(committed.code(), Some(Code::Aborted));
    assert_eq!(
        world.group.runs().len(),
        runs,
        "no statement is sent any more"
    );
}

/// Settings under which a transaction may stay idle for long.
fn patient(number: u64) -> relay::settings::Revision {
    let mut settings = revision(number);
    settings.transaction_idle_timeout = Span::from_secs(60);
    settings
}

/// The server must be free of the zone's transactions although their callers send nothing.
#[tokio::test(start_paused = true)]
async fn an_idle_transaction_is_rolled_back_at_the_server_before_the_bound() {
    let world = World::open_evacuable(BOUND);
    world.set_revision(patient(2));
    let instance = world.start("i1").await;
    let mut client = instance.connect("gallery").await;
    client.run(begin(true)).await;
    client.read("x").await.expect("a read");
    let begun = Instant::now();
    world.evacuate("b");
    sleep(2 * Duration::from(BOUND)).await;
    let rollbacks = world.group.rollbacks();
    assert_eq!(rollbacks.len(), 1);
    let after = rollbacks[0] - begun;
    assert!(after < BOUND.into(), "rolled back after {after:?}");
    assert!(
        after > Duration::from_secs(2),
        "rolled back after {after:?}"
    );
}

/// The timer that rolls the transaction back has not fired yet when the caller's statement arrives.
#[tokio::test(start_paused = true)]
async fn a_transaction_of_a_suspended_instance_sends_nothing_after_the_bound() {
    for ends in [false, true] {
        let world = World::open_evacuable(BOUND);
        world.set_revision(patient(2));
        let instance = world.start_lenient("i1").await;
        let mut client = instance.connect("gallery").await;
        client.run(begin(true)).await;
        client.read("x").await.expect("a read");
        world.evacuate("b");
        sleep(Duration::from_millis(500)).await;
        instance.suspend(BOUND);
        let runs = world.group.runs().len();
        let code = match ends {
            false => {
                client
                    .read("x")
                    .await
                    .expect_err("the bound has passed")
                    .code
            }
            true => {
                let committed = client.run(Statement::Commit).await;
                committed.code().expect("the bound has passed")
            }
        };
        assert_eq!(code, Code::Aborted);
        assert_eq!(world.group.runs().len(), runs);
    }
}

/// The server was chosen before the evacuation, and the statement has waited since.
#[test_case("gallery", "b", false; "a read")]
#[test_case("gallery", "b", true; "a transaction that reads")]
#[test_case("orders", "a", false; "a write")]
#[test_case("orders", "a", true; "a transaction that writes")]
#[tokio::test(start_paused = true)]
async fn what_waited_for_a_connection_does_not_reach_the_zone(
    database: &str,
    zone: &str,
    is_transaction: bool,
) {
    let world = World::open_evacuable(BOUND);
    let mut settings = patient(2);
    for group in settings.groups.values_mut() {
        // The instance then opens at most three connections to a server, as two are spare; with
        // fewer, reads would be spread at random.
        group.max_connections = 5;
    }
    for route in settings.routes.values_mut() {
        let route = Arc::make_mut(route);
        route.target_latency = Span::from_secs(60);
        route.statement_timeout = Span::from_secs(20);
    }
    world.set_revision(settings);
    let instance = world.start("i1").await;
    let is_read_only = database == "gallery";
    let statement = || match is_read_only {
        true => Statement::Read {
            item: Arc::from("x"),
        },
        false => Statement::Write {
            arguments: Arc::from("x 1"),
        },
    };
    let mut holders = Vec::new();
    for _ in 0..3 {
        let first = world.group.runs().len();
        let mut holder = instance.connect(database).await;
        holder.run(begin(is_read_only)).await;
        assert!(holder.run(statement()).await.outcome.is_ok());
        assert_eq!(servers_since(&world, first), [Arc::from(zone)]);
        holders.push(holder);
    }
    let first = world.group.runs().len();
    let mut waiting = instance.connect(database).await;
    let waits = async {
        if is_transaction {
            waiting.run(begin(is_read_only)).await;
        }
        waiting.run(statement()).await
    };
    let evacuation = async {
        sleep(Duration::from_millis(100)).await;
        assert_eq!(servers_since(&world, first), [], "it waits");
        world.evacuate(zone);
        sleep(Duration::from_secs(1)).await;
        for holder in &mut holders {
            holder.run(Statement::Rollback).await;
        }
    };
    let (reply, ()) = tokio::join!(waits, evacuation);
    assert!(reply.outcome.is_ok(), "another server runs it: {reply:?}");
    let servers = servers_since(&world, first);
    assert!(!servers.contains(&Arc::from(zone)), "{servers:?}");
}

/// The settings with a limit of requests to cold servers.
fn limited(number: u64, warmup: Span, rate_milli: u64) -> relay::settings::Revision {
    let mut settings = revision(number);
    for group in settings.groups.values_mut() {
        group.warmup = warmup;
        group.warmup_rate_milli = rate_milli;
    }
    settings
}

/// Its caches are empty, and all instances return to it at the same moment.
#[tokio::test(start_paused = true)]
async fn a_server_gets_few_requests_after_the_evacuation_of_its_zone() {
    let world = World::open_evacuable(BOUND);
    world.set_revision(limited(2, Span::from_secs(20), 4_000));
    let instances = start_two(&world).await;
    let mut clients = Vec::new();
    for instance in &instances {
        clients.push(instance.connect("gallery").await);
    }
    world.evacuate("b");
    sleep(BOUND.into()).await;
    // Only b is left for reads that need no other server.
    world.evacuate("c");
    sleep(BOUND.into()).await;
    world.end_evacuation("b");
    let mut sent: Vec<Instant> = Vec::new();
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(15) {
        for client in &mut clients {
            let first = world.group.runs().len();
            client.read("x").await.expect("a server reads");
            let servers = servers_since(&world, first);
            sent.extend(
                servers
                    .iter()
                    .filter(|server| &***server == "b")
                    .map(|_| Instant::now()),
            );
        }
        sleep(Duration::from_millis(5)).await;
    }
    let second = Duration::from_secs(1);
    let most = sent.iter().map(|from| {
        let in_second = |at: &&Instant| **at >= *from && **at < *from + second;
        sent.iter().filter(in_second).count()
    });
    let most = most.max().unwrap_or_default();
    // 4 x 1.5 + 5.
    assert!(most <= 11, "{most} requests in a second");
    assert!(sent.len() >= 30, "b gets {} requests", sent.len());
}

/// A server that has just started announces how long it stays cold.
#[tokio::test(start_paused = true)]
async fn a_cold_server_that_started_gets_few_requests_until_it_is_warm() {
    let world = World::open();
    world.set_zones();
    world.set_revision(limited(2, Span::from_secs(20), 1_000));
    let instance = world.start("i1").await;
    let mut client = instance.connect("gallery").await;
    world.set_cold_entry("b", 2, 10_000);
    sleep(Duration::from_secs(2)).await;
    let servers = read_for(&world, &mut client, Duration::from_secs(5)).await;
    let at_b = servers.iter().filter(|server| &***server == "b").count();
    assert!(at_b <= 12, "{at_b} requests in 5 s");
    sleep(Duration::from_secs(8)).await;
    let servers = read_for(&world, &mut client, Duration::from_secs(1)).await;
    let at_b = servers.iter().filter(|server| &***server == "b").count();
    assert!(at_b > 20, "{at_b} requests in 1 s");
}

/// Writes have no other server, so they wait for their turn within their time limit.
#[tokio::test(start_paused = true)]
async fn writes_at_a_cold_primary_wait_for_their_turn() {
    let world = World::open();
    world.set_revision(limited(2, Span::from_secs(20), 4_000));
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    world.set_cold_entry("a", 1, 10_000);
    sleep(Duration::from_secs(2)).await;
    let begun = Instant::now();
    for _ in 0..12 {
        client.write("x", "1").await.expect("its turn comes");
    }
    let taken = begun.elapsed();
    assert!(taken >= Duration::from_secs(1), "12 writes took {taken:?}");
    client.run(begin(false)).await;
    client.write("x", "2").await.expect("its turn comes");
    let committed = client.run(Statement::Commit).await;
    assert!(committed.outcome.is_ok(), "{committed:?}");
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}
