//! Tests of renewing this instance's own lease.

use std::sync::Arc;

use clock::Time;
use membership::Lease;
use membership::Phase;
use membership::Renewer;
use store::Condition;
use store::Error;
use store::Outcome;
use store::Write;
use test_case::test_case;

use crate::sample::at;
use crate::sample::lease;
use crate::sample::row;

fn committed(version: u64) -> Result<Outcome, Error> {
    Ok(Outcome::Committed { version })
}

fn failed(is_unknown: bool) -> Result<Outcome, Error> {
    let (step, peer, why) = ("commit", "table".to_owned(), "test".to_owned());
    Err(if is_unknown {
        Error::Unknown { step, peer, why }
    } else {
        Error::Refused { step, peer, why }
    })
}

fn leased() -> Renewer {
    let mut renewer = Renewer::open(lease("me", 7, "z1"));
    renewer.on_row(None);
    renewer.renewal(1);
    renewer.on_outcome(at(0), at(100), &committed(1), 0);
    renewer
}

fn version_condition(renewer: &mut Renewer) -> Option<u64> {
    match renewer.renewal(1).conditions[0] {
        Condition::Absent { .. } => None,
        Condition::Version { version, .. } => Some(version),
    }
}

#[test]
fn a_lease_is_valid_from_the_start_of_its_renewal() {
    let mut renewer = leased();
    assert!(renewer.is_valid(at(2_999)));
    assert!(
        !renewer.is_valid(at(3_000)),
        "a pause longer than the lease invalidates it"
    );
    renewer.on_outcome(at(3_500), at(3_600), &committed(2), 0);
    assert!(
        renewer.is_valid(at(6_499)),
        "a renewal after the pause makes it valid again"
    );
    assert_eq!(version_condition(&mut renewer), Some(2));
}

#[test]
fn the_first_renewal_takes_over_the_row_of_an_earlier_life() {
    let mut renewer = Renewer::open(lease("me", 7, "z1"));
    assert!(renewer.is_read_required());
    renewer.on_row(Some(&row(&lease("me", 6, "z1"), 4)));
    assert!(!renewer.is_replaced());
    assert_eq!(version_condition(&mut renewer), Some(4));
}

#[test]
fn a_row_of_another_life_after_the_first_renewal_means_replacement() {
    let mut renewer = leased();
    let rows = vec![row(&lease("me", 8, "z1"), 5)];
    renewer.on_outcome(at(800), at(900), &Ok(Outcome::Conflict { rows }), 0);
    assert!(renewer.is_replaced());
    assert!(!renewer.is_valid(at(901)));
    assert_eq!(renewer.due(), Time::NEVER);
}

#[test]
fn a_renewal_with_an_unknown_outcome_is_found_by_reading_the_row() {
    let mut renewer = leased();
    renewer.on_outcome(at(800), at(900), &failed(true), 0);
    assert!(renewer.is_read_required());
    renewer.on_row(Some(&row(&lease("me", 7, "z1"), 2)));
    assert!(!renewer.is_replaced());
    assert_eq!(version_condition(&mut renewer), Some(2));
    assert!(
        renewer.is_valid(at(2_999)) && !renewer.is_valid(at(3_000)),
        "reading does not extend the lease"
    );
}

#[test]
fn a_deleted_row_is_written_again() {
    let mut renewer = leased();
    renewer.on_outcome(at(800), at(900), &Ok(Outcome::Conflict { rows: vec![] }), 0);
    assert_eq!(version_condition(&mut renewer), None);
    assert_eq!(renewer.due(), at(900));
}

#[test_case(0, 375 ; "least")]
#[test_case(999, 749 ; "most")]
fn jitter_spreads_renewals(jitter: u64, expected_ms: u64) {
    let mut renewer = leased();
    renewer.on_outcome(at(0), at(1_000), &committed(2), jitter);
    assert_eq!(renewer.due().since(at(1_000)).as_millis(), expected_ms);
}

#[test]
fn retry_delays_grow_up_to_the_lease_duration() {
    let mut renewer = leased();
    let mut delays = Vec::new();
    for _ in 0..8 {
        renewer.on_outcome(at(1_000), at(1_000), &failed(false), 0);
        delays.push(renewer.due().since(at(1_000)).as_millis());
    }
    assert!(delays.is_sorted(), "{delays:?}");
    assert_eq!((delays[0], delays[7]), (200, 1_500));
}

#[test]
fn a_changed_duration_applies_from_the_next_renewal() {
    let mut renewer = leased();
    renewer.renewal(1);
    renewer.set_lease_ms(10_000);
    renewer.on_outcome(at(1_000), at(1_000), &committed(2), 0);
    assert_eq!(
        renewer.valid_until(),
        at(4_000),
        "the renewal in flight wrote the old duration"
    );
    renewer.renewal(1);
    renewer.on_outcome(at(2_000), at(2_000), &committed(3), 0);
    assert_eq!(renewer.valid_until(), at(12_000));
}

#[test]
fn leaving_renews_at_once_and_release_deletes_the_row() {
    let mut renewer = leased();
    renewer.leave(at(200));
    assert_eq!(renewer.due(), at(200));
    let renewal = renewer.renewal(3);
    let Write::Put { value, .. } = &renewal.writes[0] else {
        panic!("expected a put");
    };
    let written: Lease = serde_json::from_str(value).unwrap();
    assert_eq!((written.phase, written.revision), (Phase::Leaving, 3));
    let release = renewer.release();
    let key: Arc<str> = Arc::from("instance/me");
    assert_eq!(
        release.writes,
        [Write::Delete {
            key: Arc::clone(&key)
        }]
    );
    assert_eq!(release.conditions, [Condition::Version { key, version: 1 }]);
}

#[test]
#[should_panic(expected = "the row is read before it is renewed")]
fn a_renewal_before_the_first_read_panics() {
    Renewer::open(lease("me", 7, "z1")).renewal(1);
}

/// Guards against a promoter that takes the confirmation of a restarted instance for that of an
/// earlier process of the same name, which still acknowledges writes.
#[test]
fn a_restarted_instance_is_not_alone_until_the_earlier_lease_is_over() {
    let first = leased();
    assert!(first.is_alone(at(100)));
    let mut second = Renewer::open(lease("me", 8, "z1"));
    second.on_row(Some(&row(&lease("me", 7, "z1"), 1)));
    second.renewal(1);
    assert!(!second.is_alone(at(400)));
    second.on_outcome(at(400), at(500), &committed(2), 0);
    assert!(first.is_valid(at(2_999)), "it has not tried to renew");
    assert!(!second.is_alone(at(3_499)));
    assert!(second.is_alone(at(3_500)));
    second.on_outcome(at(4_000), at(4_100), &committed(3), 0);
    assert!(second.is_alone(at(4_100)));
}
