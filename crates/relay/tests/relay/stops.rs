//! Tests of graceful stops.

use std::time::Duration;

use relay::message::Code;
use relay::message::Statement;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::world::World;

#[tokio::test(start_paused = true)]
async fn a_stop_closes_idle_sessions_and_ends_in_time() {
    let world = World::open();
    let mut instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    instance.stop();
    assert!(client.is_closed().await);
    let ended = timeout(Duration::from_secs(6), &mut instance.task).await;
    ended
        .expect("in time")
        .expect("no panic")
        .expect("no error");
}

#[tokio::test(start_paused = true)]
async fn a_stop_waits_for_an_open_transaction() {
    let world = World::open();
    let mut instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client
        .run(Statement::Begin {
            is_read_only: false,
        })
        .await;
    client.write("x", "1").await.expect("a write");
    instance.stop();
    sleep(Duration::from_millis(2_000)).await;
    let committed = client.run(Statement::Commit).await;
    assert!(committed.outcome.is_ok(), "{committed:?}");
    assert_eq!(world.group.writes("x"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_stopping_instance_serves_callers_that_still_connect() {
    let world = World::open();
    let mut instance = world.start("i1").await;
    instance.stop();
    sleep(Duration::from_millis(1_000)).await;
    let mut late = instance.connect("orders").await;
    late.write("x", "1").await.expect("it is served");
    assert!(late.is_closed().await);
}

#[tokio::test(start_paused = true)]
async fn callers_that_connect_early_are_served_and_not_refused() {
    let world = World::open();
    let instance = world.spawn("i1");
    let mut client = instance.connect("orders").await;
    client
        .write("x", "1")
        .await
        .expect("it waited for the start");
}

/// A request that came late in a stop waited for a primary until the process ended, and its caller
/// got no answer.
#[tokio::test(start_paused = true)]
async fn a_request_late_in_a_stop_is_answered_before_the_end() {
    let world = World::open();
    let mut instance = world.start("i1").await;
    let mut client = instance.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    // Nobody can be promoted without `b`.
    world.group.crash("b");
    world.group.crash("a");
    instance.stop();
    let begun = Instant::now();
    // The slices are released in the last half second of the six.
    let end = begun + Duration::from_millis(5_500);
    while Instant::now() < end {
        let failure = client.write("y", "1").await.expect_err("no primary");
        assert_eq!(failure.code, Code::Busy, "{failure:?}");
        assert!(Instant::now() < end, "{:?}", begun.elapsed());
        sleep(Duration::from_millis(10)).await;
    }
}
