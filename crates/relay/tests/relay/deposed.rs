//! Primaries that go on as such after their replacement, until they are demoted.

use std::time::Duration;

use relay::message::Code;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::Client;
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
