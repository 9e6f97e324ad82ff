//! Leaders' positions that a few instances obtain for all others.

use std::time::Duration;

use clock::Span;
use clock::Time;
use relay::peers::Reports;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::GROUP;
use crate::world::World;
use crate::world::revision;

/// The number of instances that probe leaders in a small fleet.
const PROBERS: usize = 2;

#[tokio::test]
async fn only_few_instances_probe_the_primary_and_all_learn_of_its_successor() {
    let world = World::open();
    let mut instances = Vec::new();
    for name in ["i1", "i2", "i3", "i4", "i5", "i6"] {
        instances.push(world.spawn(name));
    }
    sleep(Duration::from_secs(6)).await;
    world.group.take_probers();
    sleep(Duration::from_secs(3)).await;
    let probers = world.group.take_probers();
    assert_eq!(probers.len(), PROBERS, "{probers:?}");
    // Every instance serves bounded reads from a floor that it did not obtain itself.
    for instance in &instances {
        let mut client = instance.connect("gallery").await;
        client.read("x").await.expect("a read");
    }
    world.group.crash("a");
    sleep(Duration::from_secs(4)).await;
    let mut client = instances[0].connect("orders").await;
    client.write("x", "1").await.expect("a write");
    for instance in &instances {
        let mut client = instance.connect("orders").await;
        let begun = Instant::now();
        while client.read("x").await.as_deref() != Ok("1") {
            assert!(begun.elapsed() < Duration::from_secs(2), "no latest read");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Guards against reports of the servers' loads, sent where connections are scarce, that make
/// instances lose the reports of the leaders' positions or refuse each other's datagrams.
#[tokio::test]
async fn instances_with_scarce_connections_still_get_reports_and_read() {
    let world = World::open();
    let mut scarce = revision(2);
    let group = scarce.groups.get_mut(GROUP).expect("a group");
    group.max_connections = 8;
    world.set_revision(scarce);
    let mut instances = Vec::new();
    for name in ["i1", "i2", "i3", "i4", "i5", "i6"] {
        instances.push(world.spawn(name));
    }
    sleep(Duration::from_secs(6)).await;
    world.group.take_probers();
    for _ in 0..10 {
        for instance in &instances {
            let mut client = instance.connect("gallery").await;
            client.read("x").await.expect("a read");
        }
        sleep(Duration::from_millis(200)).await;
    }
    let probers = world.group.take_probers();
    assert_eq!(probers.len(), PROBERS, "{probers:?}");
}

#[test]
fn only_the_response_to_the_latest_query_counts() {
    let at = |millis: u64| Time::ZERO + Span::from_millis(millis);
    let mut reports = Reports::default();
    let first = reports.query(at(100));
    let second = reports.query(at(500));
    assert_eq!(reports.on_response(first), None, "the first came late");
    assert!(!reports.is_answered());
    assert_eq!(reports.on_response(second), Some(at(500)));
    assert!(reports.is_answered());
}

#[test]
fn the_mean_load_covers_the_instances_that_asked_recently() {
    let at = |millis: u64| Time::ZERO + Span::from_millis(millis);
    let age = Span::from_secs(2);
    let mut reports = Reports::default();
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    reports.on_load(at(0), address(1), 100);
    reports.on_load(at(1_500), address(2), 20);
    assert_eq!(reports.mean_load(at(1_600), 30, age), 50);
    assert_eq!(reports.mean_load(at(2_100), 30, age), 25);
}
