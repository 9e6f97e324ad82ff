//! Which zones one instance counts as evacuated, and what it confirms to others.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use relay::evacuation::Evacuations;
use relay::evacuation::Transition;
use test_case::test_case;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn zones(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

fn transition(zone: &str, is_evacuated: bool) -> Transition {
    Transition {
        zone: Arc::from(zone),
        is_evacuated,
    }
}

/// Returns the state after a read of all rows in an era of the store.
fn read(era: u64, names: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.on_snapshot(at(0), at(4_500), era, &zones(names));
    evacuations
}

/// Instances must agree with those that follow no evacuations as long as there are none.
#[test]
fn without_evacuations_the_number_is_that_of_the_settings() {
    let evacuations = Evacuations::default();
    assert_eq!(evacuations.number(7), 7);
    assert!(evacuations.are_confirmed_by(7, 7));
    assert!(evacuations.are_confirmed_by(7, 6));
    assert!(!evacuations.are_confirmed_by(7, 8));
}

/// An instance whose view is confirmed by mistake would go on sending requests into the zone.
#[test_case(&[], &["z1"]; "the other knows of an evacuation")]
#[test_case(&["z1"], &[]; "the other knows of its end, or has an older view")]
#[test_case(&["z1"], &["z1", "z2"]; "the other knows of a second zone")]
#[test_case(&["z1"], &["z2"]; "another zone")]
fn different_evacuations_do_not_confirm_each_other(own: &[&str], other: &[&str]) {
    let (own, other) = (read(0, own), read(0, other));
    for revision in [1, 7, 1_000_000] {
        assert!(!own.are_confirmed_by(revision, other.number(revision)));
    }
}

#[test]
fn equal_evacuations_confirm_equal_settings_only() {
    let (own, other) = (read(0, &["z1", "z2"]), read(0, &["z2", "z1"]));
    assert!(own.are_confirmed_by(7, other.number(7)));
    assert!(!own.are_confirmed_by(7, other.number(6)));
    assert!(!own.are_confirmed_by(7, other.number(8)));
}

/// The bound runs from the first row, so writing it again must not prolong open transactions.
#[test]
fn a_zone_evacuated_twice_keeps_its_first_deadline() {
    let mut evacuations = read(0, &["z1"]);
    let again = evacuations.on_row(at(9_000), 0, &Arc::from("z1"));
    assert_eq!(again, None);
    assert_eq!(evacuations.deadline("z1"), Some(at(4_500)));
    assert_eq!(evacuations.count(), 1);
}

#[test]
fn two_zones_are_evacuated_and_ended_one_by_one() {
    let mut evacuations = read(0, &["z1"]);
    let begun = evacuations.on_snapshot(at(10), at(4_510), 0, &zones(&["z1", "z2"]));
    assert_eq!(begun, [transition("z2", true)]);
    assert!(evacuations.covers("z1") && evacuations.covers("z2"));
    let ended = evacuations.on_removed(at(20), &Arc::from("z1"));
    assert_eq!(ended, Some(transition("z1", false)));
    assert_eq!(evacuations.ended("z1"), Some(at(20)));
    assert!(!evacuations.covers("z1") && evacuations.covers("z2"));
    let ended = evacuations.on_snapshot(at(30), at(4_530), 0, &zones(&[]));
    assert_eq!(ended, [transition("z2", false)]);
    assert_eq!(evacuations.number(7), 7);
}

#[test]
fn the_end_of_an_evacuation_that_is_not_known_changes_nothing() {
    let mut evacuations = Evacuations::default();
    assert_eq!(evacuations.on_removed(at(0), &Arc::from("z1")), None);
    assert_eq!(evacuations.ended("z1"), None);
}

/// The copy may be older than the operator's row, which was acknowledged.
#[test]
fn a_row_that_the_store_lost_is_kept_until_it_was_seen_and_removed() {
    let mut evacuations = read(1, &["z1"]);
    assert!(evacuations.unrecorded(1).is_empty());
    for _ in 0..2 {
        let changed = evacuations.on_snapshot(at(10), at(4_510), 2, &zones(&[]));
        assert!(changed.is_empty());
        assert!(evacuations.covers("z1"));
        assert_eq!(evacuations.unrecorded(2), [Arc::from("z1")]);
    }
    evacuations.on_snapshot(at(20), at(4_520), 2, &zones(&["z1"]));
    assert!(evacuations.unrecorded(2).is_empty());
    let ended = evacuations.on_snapshot(at(30), at(4_530), 2, &zones(&[]));
    assert_eq!(ended, [transition("z1", false)]);
}

/// An instance that has not seen the row in the new era would keep the zone after its removal.
#[test]
fn a_view_of_an_earlier_era_is_not_confirmed() {
    let (before, after) = (read(1, &["z1"]), read(2, &["z1"]));
    assert!(!before.are_confirmed_by(7, after.number(7)));
}

#[test]
fn a_row_that_an_older_copy_brings_back_is_in_force() {
    let mut evacuations = read(1, &["z1"]);
    evacuations.on_removed(at(10), &Arc::from("z1"));
    let begun = evacuations.on_snapshot(at(20), at(4_520), 2, &zones(&["z1"]));
    assert_eq!(begun, [transition("z1", true)]);
}
