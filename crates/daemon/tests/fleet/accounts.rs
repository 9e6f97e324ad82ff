//! Keys that are withdrawn, wrong or unknown.

use admin::Control as _;

use super::support::ACCOUNT;
use super::support::Fleet;
use super::support::code;
use super::support::run;
use super::support::until;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_withdrawn_key_ends_connected_sessions_everywhere() {
    let fleet = Fleet::open(20, 2).await;
    fleet.create_table().await;
    let idle = fleet.client(0).await;
    let busy = fleet.client(1).await;
    run(&busy, "BEGIN").await;
    run(&busy, "INSERT INTO entries VALUES (1, 'x')").await;
    let key_id = fleet.key_id.to_string();
    let withdrawn = fleet
        .control(0)
        .withdraw_key(ACCOUNT, &key_id, "withdraw", "test")
        .await;
    assert!(withdrawn.is_ok(), "{withdrawn:?}");
    until("the end of both sessions", || async {
        idle.is_closed() && busy.is_closed()
    })
    .await;
    for index in [0, 1] {
        let refused = fleet.connect(index, &fleet.key).await;
        assert_eq!(code(&refused.err().unwrap()), "28P01");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn wrong_keys_are_refused_and_keys_reach_no_event() {
    let fleet = Fleet::open(21, 1).await;
    let planted = "planted-key-that-must-not-appear";
    let refused = fleet.connect(0, planted).await;
    assert_eq!(code(&refused.err().unwrap()), "28P01");
    let client = fleet.client(0).await;
    run(&client, "SELECT 1").await;
    let node = fleet.instances[0].node();
    let events = node.ring.events_after(timeline::Timestamp::default());
    let metrics = fleet.control(0).metrics();
    let tree = fleet.control(0).tree().await.unwrap().tree.to_text();
    for secret in [planted, &fleet.key] {
        assert!(!metrics.contains(secret));
        assert!(!tree.contains(secret));
        for event in &events {
            assert!(!event.to_string().contains(secret), "{event}");
        }
    }
}
