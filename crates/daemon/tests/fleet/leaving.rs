//! Endpoints that the roster lists as leaving, and zones that the settings evacuate.

use std::sync::Arc;

use admin::Control as _;
use store::Machine;
use store::Status;

use super::support::Fleet;
use super::support::run;
use super::support::until;

/// Lists one endpoint as leaving.
fn leave(fleet: &Fleet, name: &str) {
    fleet.platform.set_machines(vec![Machine {
        name: Arc::from(name),
        role: Arc::from("endpoint"),
        zone: Arc::from("z1"),
        address: Arc::from("127.0.0.1:1"),
        status: Status::Leaving,
    }]);
}

/// Returns how many reads a server has answered.
fn reads(fleet: &Fleet, index: usize) -> u64 {
    let server = &fleet.group.servers[index];
    [true, false]
        .iter()
        .flat_map(|is_replica| server.reads(*is_replica).into_iter())
        .filter(|(text, _)| text.contains("entries"))
        .map(|(_, count)| count)
        .sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_replica_gets_no_new_reads() {
    let fleet = Fleet::open(60, 1).await;
    fleet.create_table().await;
    let client = fleet.client(0).await;
    leave(&fleet, "orders-2");
    let group = fleet.instances[0].node().group("orders").unwrap();
    until("the replica's retirement", || async {
        let (replicas, _) = group.candidates();
        let is_listed = replicas
            .iter()
            .any(|candidate| &*candidate.source.endpoint == "orders-2");
        !is_listed && !replicas.is_empty()
    })
    .await;
    let before = reads(&fleet, 1);
    for _ in 0..50 {
        run(&client, "SELECT id FROM entries").await;
    }
    assert_eq!(reads(&fleet, 1), before);
    assert!(reads(&fleet, 2) > 0, "the other replica answers");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_primary_hands_its_role_over() {
    let fleet = Fleet::open(61, 2).await;
    fleet.create_table().await;
    leave(&fleet, "orders-1");
    let control = fleet.control(0);
    until("the hand-over", || async {
        let groups = control.groups().await.unwrap();
        groups[0].term == 2 && groups[0].is_writable
    })
    .await;
    let groups = control.groups().await.unwrap();
    assert_ne!(groups[0].primary.as_deref(), Some("orders-1"));
    let before = reads(&fleet, 0);
    let client = fleet.client(1).await;
    run(&client, "INSERT INTO entries VALUES (1, 'x')").await;
    for _ in 0..50 {
        run(&client, "SELECT id FROM entries").await;
    }
    assert_eq!(reads(&fleet, 0), before, "it gets no new work");
}

/// Guards against an evacuated zone whose primary keeps its role, and whose servers go on to answer
/// statements.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_evacuated_zone_gets_no_statements_until_it_is_taken_back() {
    let fleet = Fleet::open(62, 2).await;
    fleet.create_table().await;
    let control = fleet.control(0);
    let first = control.groups().await.unwrap()[0].primary.clone().unwrap();
    let endpoints = control.endpoints().await.unwrap();
    let place = |name: &str| {
        let index = endpoints
            .iter()
            .position(|endpoint| &*endpoint.name == name);
        index.unwrap()
    };
    let zone = Arc::clone(&endpoints[place(&first)].zone);
    let path = format!("zones/{zone}");
    let evacuated = serde_json::json!({"evacuated": true});
    fleet.change(0, "evacuate", &path, evacuated).await;
    until("the hand-over", || async {
        let groups = control.groups().await.unwrap();
        groups[0].primary.as_ref() != Some(&first) && groups[0].is_writable
    })
    .await;
    let client = fleet.client(1).await;
    until("the settings at the other instance", || async {
        let groups = fleet.control(1).groups().await.unwrap();
        groups[0].primary.as_ref() != Some(&first) && groups[0].is_writable
    })
    .await;
    let before = reads(&fleet, place(&first));
    run(&client, "INSERT INTO entries VALUES (1, 'x')").await;
    for _ in 0..50 {
        run(&client, "SELECT id FROM entries").await;
    }
    assert_eq!(reads(&fleet, place(&first)), before);
    fleet
        .change(0, "undo", &path, serde_json::Value::Null)
        .await;
    until("reads at the zone's server", || async {
        run(&client, "SELECT id FROM entries").await;
        reads(&fleet, place(&first)) > before
    })
    .await;
}
