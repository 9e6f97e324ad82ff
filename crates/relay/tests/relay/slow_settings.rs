//! Tests of settings that take long to arrive.

use std::time::Duration;

use clock::Span;
use relay::message::Code;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::Delivery;
use crate::world::KEY;
use crate::world::World;
use crate::world::revision;

/// Writes settings without the route of `gallery`.
fn drop_gallery(world: &World) {
    let mut next = revision(2);
    next.routes.remove("gallery");
    world.set_revision(next);
}

fn every(pause_ms: u64, parts: u32) -> Delivery {
    Delivery {
        parts,
        pause: Duration::from_millis(pause_ms),
        is_cut_off: false,
    }
}

/// A link that needs longer for the settings than any single wait of the instance.
#[tokio::test(start_paused = true)]
async fn settings_that_take_two_seconds_to_arrive_come_into_force() {
    let world = World::open();
    let instance = world.start("i1").await;
    world.directives.set_delivery(every(100, 20));
    drop_gallery(&world);
    sleep(Duration::from_millis(4_000)).await;
    let refused = instance.connect_as("gallery", KEY).await;
    let refused = refused.err().expect("the route was dropped 4 s ago");
    assert_eq!(refused.code, Code::UnknownDatabase);
}

/// Callers that are refused meanwhile must not make the instance start over.
#[tokio::test(start_paused = true)]
async fn refused_callers_do_not_interrupt_the_arrival_of_settings() {
    let world = World::open();
    let instance = world.start("i1").await;
    world.directives.set_delivery(every(100, 50));
    let before = world.directives.deliveries();
    drop_gallery(&world);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(6_000) {
        if let Ok(mut client) = instance.connect_as("orders", KEY).await {
            let _refused = client.write("x", "1").await;
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert!(instance.connect_as("gallery", KEY).await.is_err());
    assert_eq!(world.directives.deliveries(), before + 1);
}

#[tokio::test(start_paused = true)]
async fn settings_that_stop_arriving_are_requested_again() {
    let world = World::open();
    let instance = world.start("i1").await;
    world.directives.set_delivery(Delivery {
        is_cut_off: true,
        ..every(100, 3)
    });
    drop_gallery(&world);
    sleep(Duration::from_millis(700)).await;
    world.directives.set_delivery(Delivery::default());
    sleep(Duration::from_millis(1_500)).await;
    assert!(instance.connect_as("gallery", KEY).await.is_err());
}

/// The call that brings the settings began up to a long poll before they were sent.
#[tokio::test(start_paused = true)]
async fn keys_do_not_lapse_after_settings_that_arrived_slowly() {
    let world = World::open();
    world.directives.keep_history();
    // Two long polls and the arrival of the settings lie between two confirmations.
    let instance = world.start_with_grace("i1", Span::from_millis(4_900)).await;
    world.directives.set_delivery(every(100, 12));
    let mut client = instance.connect("orders").await;
    for number in 2..6 {
        for _ in 0..40 {
            client.write("x", "1").await.expect("the key is in force");
            sleep(Duration::from_millis(100)).await;
        }
        world.set_revision(revision(number));
    }
}

#[tokio::test(start_paused = true)]
async fn idle_sessions_stay_open_while_settings_arrive() {
    let world = World::open();
    world.directives.keep_history();
    let instance = world.start_with_grace("i1", Span::from_millis(4_900)).await;
    world.directives.set_delivery(every(100, 15));
    let mut client = instance.connect("orders").await;
    // The changes come at different moments of a long poll.
    for number in 2..16 {
        sleep(Duration::from_millis(5_100)).await;
        world.set_revision(revision(number));
    }
    let written = client.write("x", "1").await;
    written.expect("the session is open");
}

/// Instances whose settings came after their first read of the groups' leaders were told by others that
/// nothing had changed, and held every read of the latest state until its time limit.
#[tokio::test(start_paused = true)]
async fn leaders_of_groups_that_come_late_are_read_too() {
    let world = World::open_unchecked();
    let early = world.start("i1").await;
    let mut client = early.connect("orders").await;
    client.write("x", "1").await.expect("a write");
    world.directives.set_delivery(every(100, 20));
    // Two of the instances read the table for the others.
    let late = ["i2", "i3", "i4", "i5"].map(|name| world.spawn(name));
    for instance in &late {
        let mut client = instance.connect("orders").await;
        client.write("y", "1").await.expect("the leader is known");
        assert_eq!(client.read("x").await.as_deref(), Ok("1"));
    }
}
