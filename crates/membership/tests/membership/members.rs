//! Tests of which members count as live.

use std::sync::Arc;

use clock::Span;
use membership::Heartbeat;
use membership::Phase;
use membership::Verdict;
use proptest::prelude::*;
use store::Condition;
use store::Machine;
use store::Row;
use store::Status;
use test_case::test_case;

use crate::sample::at;
use crate::sample::heartbeat;
use crate::sample::lease;
use crate::sample::live;
use crate::sample::members;
use crate::sample::row;

#[test]
fn a_lease_expires_unless_its_row_changes() {
    let mut members = members("me", "z1");
    let other = lease("other", 1, "z1");
    members.on_rows(at(0), &[row(&other, 1)]);
    members.on_rows(at(2_000), &[row(&other, 1)]);
    assert_eq!(live(&members, 2_999), ["other"]);
    assert!(
        live(&members, 3_000).is_empty(),
        "a version counts from the first read that returned it"
    );
    members.on_rows(at(4_000), &[row(&other, 2)]);
    assert_eq!(live(&members, 6_999), ["other"]);
}

#[test]
fn the_result_of_an_earlier_read_is_ignored() {
    let mut members = members("me", "z1");
    let first = lease("other", 1, "z1");
    let second = lease("other", 2, "z1");
    members.on_rows(at(10), &[row(&second, 2)]);
    members.on_rows(at(5), &[row(&first, 1)]);
    assert_eq!(members.get("other").unwrap().life, 2);
}

#[test]
fn heartbeats_of_an_earlier_life_are_rejected() {
    let mut members = members("me", "z1");
    members.on_rows(at(0), &[row(&lease("other", 1, "z1"), 1)]);
    assert_eq!(
        members.on_heartbeat(at(1), &heartbeat("other", 1, 1)),
        Verdict::Accepted
    );
    members.on_rows(at(2), &[row(&lease("other", 2, "z1"), 2)]);
    let mut late = heartbeat("other", 1, 2);
    late.revision = 50;
    assert_eq!(members.on_heartbeat(at(3), &late), Verdict::EarlierLife);
    assert_eq!(members.get("other").unwrap().revision, 1);
    assert_eq!(
        members.on_heartbeat(at(4), &heartbeat("other", 2, 1)),
        Verdict::Accepted
    );
    members.on_rows(at(5), &[row(&lease("other", 1, "z1"), 1)]);
    assert_eq!(
        members.get("other").unwrap().life,
        2,
        "a stale row does not restore the earlier life"
    );
}

#[test]
fn an_unknown_life_is_accepted_once_its_row_is_read_or_the_known_life_has_expired() {
    let mut members = members("me", "z1");
    members.on_rows(at(0), &[row(&lease("other", 1, "z1"), 1)]);
    let restarted = heartbeat("other", 2, 1);
    assert_eq!(
        members.on_heartbeat(at(1), &restarted),
        Verdict::UnconfirmedLife
    );
    assert_eq!(members.get("other").unwrap().life, 1);
    assert_eq!(
        members.on_heartbeat(at(3_000), &restarted),
        Verdict::Accepted
    );
    let late = heartbeat("other", 1, 9);
    assert_eq!(members.on_heartbeat(at(3_001), &late), Verdict::EarlierLife);
}

type Change = fn(&mut Heartbeat);

#[test_case(|beat| beat.fleet = Arc::from("another"), Verdict::OtherFleet ; "another fleet")]
#[test_case(|beat| beat.version += 1, Verdict::OtherVersion ; "another version")]
#[test_case(|beat| beat.name = Arc::from("me"), Verdict::Own ; "own name")]
#[test_case(|beat| beat.sequence = 5, Verdict::Replayed ; "repeated")]
#[test_case(|beat| beat.sequence = 4, Verdict::Replayed ; "reordered")]
fn a_rejected_heartbeat_changes_no_state(change: Change, verdict: Verdict) {
    let mut members = members("me", "z1");
    members.on_heartbeat(at(1), &heartbeat("other", 1, 5));
    let mut beat = heartbeat("other", 1, 6);
    beat.revision = 50;
    change(&mut beat);
    let before: Vec<_> = members.iter().cloned().collect();
    assert_eq!(members.on_heartbeat(at(1_000), &beat), verdict);
    let after: Vec<_> = members.iter().cloned().collect();
    assert_eq!(before, after);
}

#[test]
fn heartbeats_keep_a_member_live_while_the_table_is_unavailable() {
    let mut members = members("me", "z1");
    members.on_rows(at(0), &[row(&lease("other", 1, "z1"), 1)]);
    members.on_heartbeat(at(9_000), &heartbeat("other", 1, 1));
    assert_eq!(live(&members, 9_001), ["other"]);
    assert!(live(&members, 11_000).is_empty());
    assert!(members.is_table_silent(at(9_000), Span::from_secs(2)));
    assert_eq!(
        members.expire(at(11_000), Span::from_secs(1)),
        [Arc::from("other")]
    );
    assert_eq!(members.iter().count(), 0);
}

#[test]
fn a_member_with_an_expired_lease_is_kept_while_it_is_on_the_roster() {
    let mut members = members("me", "z1");
    let rows = [
        row(&lease("cut", 1, "z1"), 1),
        row(&lease("gone", 1, "z1"), 2),
    ];
    members.on_rows(at(0), &rows);
    members.on_roster(&[machine("cut", "instance", Status::Live)]);
    assert_eq!(
        members.expire(at(60_000), Span::from_secs(1)),
        [Arc::from("gone")]
    );
    assert!(
        live(&members, 60_000).is_empty(),
        "it is on the roster, but not live"
    );
    assert!(members.get("cut").is_some());
    members.on_roster(&[]);
    assert_eq!(
        members.expire(at(60_000), Span::from_secs(1)),
        [Arc::from("cut")]
    );
}

#[test]
fn the_row_of_a_killed_member_does_not_restore_it_and_is_deleted_later() {
    let mut members = members("me", "z1");
    let killed = lease("killed", 1, "z1");
    members.on_rows(at(0), &[row(&killed, 1)]);
    members.expire(at(13_000), Span::from_secs(10));
    members.on_rows(at(14_000), &[row(&killed, 1)]);
    assert!(
        members.get("killed").is_none(),
        "the same version is no sign of life"
    );
    assert_eq!(members.lapsed_row_deletions(at(72_999)), []);
    let deletions = members.lapsed_row_deletions(at(73_000));
    let key = Arc::clone(&row(&killed, 1).key);
    assert_eq!(
        deletions[0].conditions,
        [Condition::Version { key, version: 1 }]
    );
    members.on_rows(at(80_000), &[row(&killed, 2)]);
    assert_eq!(
        live(&members, 80_001),
        ["killed"],
        "it was paused and has renewed its row"
    );
    assert_eq!(members.lapsed_row_deletions(at(99_000)), []);
}

#[test]
fn a_released_row_ends_the_life_and_a_lost_row_does_not() {
    let mut members = members("me", "z1");
    let mut leaving = lease("leaving", 1, "z1");
    leaving.phase = Phase::Leaving;
    let rows = [row(&leaving, 1), row(&lease("staying", 1, "z1"), 2)];
    members.on_rows(at(0), &rows);
    members.on_rows(at(1), &[]);
    assert!(live(&members, 2).is_empty());
    let late = members.on_heartbeat(at(3), &heartbeat("leaving", 1, 1));
    assert_eq!(late, Verdict::EarlierLife);
    let running = members.on_heartbeat(at(3), &heartbeat("staying", 1, 1));
    assert_eq!(running, Verdict::Accepted);
    assert_eq!(live(&members, 4), ["staying"]);
}

fn machine(name: &str, role: &str, status: Status) -> Machine {
    Machine {
        name: Arc::from(name),
        role: Arc::from(role),
        zone: Arc::from("z2"),
        address: Arc::from(format!("{name}:1")),
        status,
    }
}

#[test]
fn the_roster_adds_and_removes_no_member() {
    let mut members = members("me", "z1");
    let rows = [
        row(&lease("old", 1, "z1"), 1),
        row(&lease("new", 1, "z1"), 2),
    ];
    members.on_rows(at(0), &rows);
    members.on_roster(&[
        machine("old", "instance", Status::Leaving),
        machine("unseen", "instance", Status::Live),
        machine("server", "endpoint", Status::Live),
    ]);
    assert_eq!(
        live(&members, 1),
        ["new", "old"],
        "the roster adds and removes no member"
    );
    let active: Vec<_> = members.active(at(1)).map(|member| &*member.name).collect();
    assert_eq!(active, ["new"], "a leaving member gets no new work");
    let seeds = members.seeds(at(1));
    let seeds: Vec<&str> = seeds.iter().map(|address| &**address).collect();
    assert_eq!(
        seeds,
        ["new:1", "old:1", "unseen:1"],
        "the own zone comes first"
    );
}

#[test]
fn a_watched_member_without_heartbeats_is_suspected() {
    let mut members = members("me", "z1");
    let rows = [row(&lease("a", 1, "z1"), 1), row(&lease("b", 1, "z1"), 2)];
    members.on_rows(at(0), &rows);
    members.on_heartbeat(at(1_000), &heartbeat("a", 1, 1));
    let watched = members.watched(at(2_000));
    assert_eq!(members.suspected(at(2_000), &watched), [Arc::from("b")]);
    assert_eq!(members.suspected(at(2_500), &watched).len(), 2);
}

fn any_row() -> impl Strategy<Value = Row> {
    let name = prop_oneof![Just("a"), Just("b"), Just("me")];
    let parts = (
        name,
        0_u64..3,
        any::<bool>(),
        0_u64..9,
        ".{0,20}",
        any::<bool>(),
    );
    parts.prop_map(|(name, life, is_leaving, version, garbage, is_garbage)| {
        let mut lease = lease(name, life, "z1");
        if is_leaving {
            lease.phase = Phase::Leaving;
        }
        let mut row = row(&lease, version);
        if is_garbage {
            row.value = Arc::from(garbage);
        }
        row
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        rng_seed: prop::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    /// No sequence of rows and heartbeats panics, restores an ended life or adds this instance.
    #[test]
    fn any_sequence_of_rows_and_heartbeats_keeps_the_invariants(
        steps in prop::collection::vec((prop::collection::vec(any_row(), 0..4), 0_u64..3, 0_u64..9), 0..30),
    ) {
        let mut members = members("me", "z1");
        for (step, (rows, life, sequence)) in steps.into_iter().enumerate() {
            let now = at(step as u64 * 100);
            members.on_rows(now, &rows);
            let before = members.get("a").map(|member| member.life);
            let verdict = members.on_heartbeat(now, &heartbeat("a", life, sequence));
            if verdict == Verdict::EarlierLife {
                prop_assert!(before != Some(life));
            }
            prop_assert!(members.get("me").is_none());
            members.watched(now);
            members.push_targets(now, 1, "a");
            members.expire(now, Span::from_millis(200));
        }
    }
}
