//! Changes of the settings over several instances.

use std::sync::Arc;

use admin::Control as _;
use group::Ack;
use settings::Answer;
use settings::Change;
use settings::Operation;

use super::support::ACCOUNT;
use super::support::Fleet;
use super::support::until;

fn change(id: &str, base: u64, rate: u64) -> Change {
    Change {
        id: Arc::from(id),
        base,
        operator: Arc::from("test"),
        operations: vec![Operation {
            path: Arc::from("accounts/shop/values/rate_per_s"),
            value: rate.into(),
        }],
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_two_racing_operators_wins_and_the_change_is_in_force_everywhere() {
    let fleet = Fleet::open(40, 3).await;
    let one = fleet.control(0);
    let two = fleet.control(2);
    let base = one.tree().await.unwrap().revision;
    let (first, second) = tokio::join!(
        one.change(change("race-1", base, 111), false),
        two.change(change("race-2", base, 222), false),
    );
    let is_accepted = |answer: &Answer| matches!(answer, Answer::Accepted { .. });
    let is_conflict = |answer: &Answer| matches!(answer, Answer::Conflict { .. });
    assert!(
        is_accepted(&first) != is_accepted(&second),
        "{first:?} {second:?}"
    );
    assert!(
        is_conflict(&first) != is_conflict(&second),
        "{first:?} {second:?}"
    );
    let rate = if is_accepted(&first) { 111 } else { 222 };
    for index in 0..3 {
        let control = fleet.control(index);
        until("the change in force", || async {
            let tree = control.tree().await.unwrap().tree;
            tree.accounts["shop"].values.rate_per_s == Some(rate)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_answer_is_found_again() {
    let fleet = Fleet::open(41, 2).await;
    let control = fleet.control(0);
    let base = control.tree().await.unwrap().revision;
    fleet
        .platform
        .switch(|switches| switches.lose_answers = 1.0);
    let first = control.change(change("lost", base, 333), false).await;
    fleet
        .platform
        .switch(|switches| switches.lose_answers = 0.0);
    let again = fleet
        .control(1)
        .change(change("lost", base, 333), false)
        .await;
    assert!(
        matches!(again, Answer::Accepted { .. }),
        "{first:?} {again:?}"
    );
    until("the change in force", || async {
        let view = control.tree().await.unwrap();
        view.tree.accounts["shop"].values.rate_per_s == Some(333)
    })
    .await;
    let revision = control.tree().await.unwrap().revision;
    assert_eq!(revision, base + 1, "the change was applied once");
}

/// Neither a peer's snapshot nor the table's row arrives within one time limit of a call.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn settings_that_take_seconds_to_arrive_come_into_force_everywhere() {
    let fleet = Fleet::open_slow(42, 3, 400_000).await;
    let routes: serde_json::Map<String, serde_json::Value> = (0..6_000)
        .map(|number| {
            let route = serde_json::json!({
                "group": "orders", "database": "orders", "accounts": [ACCOUNT]
            });
            (format!("more-{number}"), route)
        })
        .collect();
    let service = serde_json::json!({"routes": routes});
    fleet.change(0, "grow", "services/more", service).await;
    // Whichever of the instances reads the table for the others, one change comes from another.
    for index in 0..3 {
        let rate = 500 + index as u64;
        fleet
            .change(
                index,
                &format!("rate-{index}"),
                "accounts/shop/values/rate_per_s",
                rate.into(),
            )
            .await;
        for index in 0..3 {
            let control = fleet.control(index);
            until("the change in force", || async {
                let tree = control.tree().await.unwrap().tree;
                tree.accounts[ACCOUNT].values.rate_per_s == Some(rate)
            })
            .await;
        }
    }
}

/// Guards against a write that is acknowledged by the servers of earlier settings, after the same
/// instance has confirmed to a promoter that its proofs are over.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_group_of_earlier_settings_proves_nothing() {
    let fleet = Fleet::open(47, 1).await;
    fleet.create_table().await;
    let node = Arc::clone(fleet.instances[0].node());
    let earlier = node.group("orders").unwrap();
    let (_, position) = earlier.view(|view, now| view.confirmed(now)).unwrap();
    until("a proof", || async {
        matches!(earlier.proof(position), Ack::Proven { .. })
    })
    .await;
    let endpoint = serde_json::json!({"zone": "z1", "address": "127.9.9.9:5432"});
    let path = "groups/orders/endpoints/orders-4";
    fleet.change(0, "more", path, endpoint).await;
    until("the new settings", || async {
        !Arc::ptr_eq(&earlier, &node.group("orders").unwrap())
    })
    .await;
    assert_eq!(earlier.proof(position), Ack::Wait);
}
