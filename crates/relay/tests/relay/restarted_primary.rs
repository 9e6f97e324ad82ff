//! Primaries that start again while they are replaced, with their logs or without.

use std::time::Duration;

use relay::message::Code;
use test_case::test_case;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::Client;
use crate::world::World;

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
