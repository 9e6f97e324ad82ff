//! Statements at servers that have been leaving for longer than the drain bound.

use std::time::Duration;

use clock::Span;
use relay::message::Code;
use relay::message::Statement;
use tokio::time::sleep;

use crate::world::World;

const DRAIN_BOUND: Span = Span::from_secs(2);

/// Guards against requests that reach a leaving replica long after its drain time: only it has the
/// whole log, so it is promoted, and leads until another replica has received the rest.
#[tokio::test(start_paused = true)]
async fn a_leaving_server_that_is_promoted_gets_no_statement_after_its_drain_time() {
    let world = World::open_with_drain_bound(DRAIN_BOUND);
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    world.group.isolate("b", true);
    client.write("x", "kept").await.expect("c received it");
    world.set_entry("c", 3, true);
    sleep(Duration::from_secs(3)).await;
    world.group.crash("a");
    let before = world.group.runs().len();
    while world.group.leader().as_deref() != Some("c") {
        sleep(Duration::from_millis(100)).await;
    }
    let failure = client.write("y", "1").await.expect_err("c leaves");
    assert_eq!(failure.code, Code::Busy, "{failure:?}");
    let begin = Statement::Begin {
        is_read_only: false,
    };
    client.run(begin).await;
    let failure = client.write("y", "1").await.expect_err("c leaves");
    assert!(
        matches!(failure.code, Code::Busy | Code::Aborted),
        "{failure:?}"
    );
    let late: Vec<_> = world.group.runs().split_off(before);
    assert!(late.iter().all(|run| &*run.server != "c"), "{late:?}");

    world.group.isolate("b", false);
    let mut client = instance.connect("orders").await;
    let mut attempts = 0;
    while client.write("y", "1").await.is_err() {
        world.group.receive("b");
        attempts += 1;
        assert!(attempts < 100, "no write succeeds after the hand-over");
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(world.group.leader().as_deref(), Some("b"));
    assert_eq!(client.read("x").await.as_deref(), Ok("kept"));
    assert_eq!(world.group.lost(), 0, "no acknowledged write is lost");
}

/// Guards against a bound that begins before the server has reported that it leaves, or ends its
/// statements at once.
#[tokio::test(start_paused = true)]
async fn a_leaving_primary_is_used_within_its_drain_time() {
    let world = World::open_with_drain_bound(DRAIN_BOUND);
    let instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    sleep(Duration::from_secs(5)).await;
    // No replica can succeed it yet.
    world.group.set_lagging("b", true);
    world.group.set_lagging("c", true);
    world.set_entry("a", 1, true);
    client.write("x", "1").await.expect("a has time left");
}
