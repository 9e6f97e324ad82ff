//! The failover lease: which instance may replace a primary.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use relay::failover::Lease;
use relay::failover::Leases;
use relay::failover::Phase;
use relay::failover::Run;
use store::Condition;
use store::Row;
use store::Write;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn lease(phase: Phase) -> Lease {
    Lease {
        holder: Arc::from("i1"),
        incarnation: 7,
        address: None,
        token: 3,
        phase,
        commit_holders: BTreeSet::from([Arc::from("a"), Arc::from("b")]),
        leader: None,
        reign: None,
        end: None,
        requested: None,
        unanswered: None,
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns a run of the instance `i1`.
fn run(incarnation: u64, port: u16) -> Run<'static> {
    Run {
        name: "i1",
        address: address(port),
        incarnation,
    }
}

fn row(lease: &Lease, version: u64) -> Row {
    let (_, write) = lease.compare_and_set("g", None);
    let Write::Put { key, value } = write else {
        panic!("expected a put of the lease row");
    };
    Row {
        key,
        value,
        version,
    }
}

#[test]
fn the_row_keeps_the_names_that_other_versions_read() {
    let row = row(&lease(Phase::Working), 5);
    let text = r#"{"holder":"i1","life":7,"token":3,"phase":"working","holders":["a","b"]}"#;
    assert_eq!(&*row.value, text);
}

#[test]
fn an_absent_lease_may_be_acquired() {
    let group = Arc::from("g");
    assert!(Leases::default().may_acquire(at(0), &group, None, &run(1, 1)));
}

#[test]
fn a_working_holder_keeps_its_lease_until_the_row_stays_unchanged() {
    let leases = Leases::default();
    let group = Arc::from("g");
    let working = lease(Phase::Working);
    assert!(!leases.may_acquire(at(0), &group, Some(&row(&working, 5)), &run(1, 1)));
    assert!(!leases.may_acquire(at(3_000), &group, Some(&row(&working, 6)), &run(1, 1)));
    assert!(!leases.may_acquire(at(6_000), &group, Some(&row(&working, 6)), &run(1, 1)));
    assert!(leases.may_acquire(at(6_500), &group, Some(&row(&working, 6)), &run(1, 1)));
}

#[test]
fn the_previous_holder_has_priority() {
    let leases = Leases::default();
    let group = Arc::from("g");
    let done = row(&lease(Phase::Done), 5);
    assert!(leases.may_acquire(at(0), &group, Some(&done), &run(7, 1)));
    assert!(!leases.may_acquire(at(0), &group, Some(&done), &run(1, 1)));
    assert!(leases.may_acquire(at(700), &group, Some(&done), &run(1, 1)));
}

#[test]
fn a_lease_is_replaced_only_at_the_version_that_was_read() {
    let before = row(&lease(Phase::Done), 5);
    let (condition, write) = lease(Phase::Working).compare_and_set("g", Some(&before));
    let key: Arc<str> = Arc::from("group/duty/g");
    assert_eq!(condition, Condition::Version { key, version: 5 });
    let Write::Put { value, .. } = write else {
        panic!("expected a put of the lease row");
    };
    let read = Lease::parse(&Row { value, ..before });
    assert_eq!(read, Some(lease(Phase::Working)));
}

/// A replacement whose holder was killed lay for six seconds although the holder was back at once.
#[test]
fn an_earlier_run_at_the_same_address_has_ended() {
    let leases = Leases::default();
    let group = Arc::from("g");
    let mut held = lease(Phase::Working);
    held.address = Some(address(1));
    let row = row(&held, 5);
    leases.on_lease(&group, &held);
    assert!(leases.may_acquire(at(0), &group, Some(&row), &run(8, 1)));
    assert!(leases.is_abandoned_by(&group, &run(8, 1)));
    let moved = run(8, 2);
    assert!(!leases.may_acquire(at(0), &group, Some(&row), &moved));
    assert!(!leases.is_abandoned_by(&group, &moved));
    let other = Run {
        name: "i2",
        ..run(8, 1)
    };
    assert!(!leases.may_acquire(at(0), &group, Some(&row), &other));
}

#[test]
fn a_row_counts_as_unchanged_since_any_read_showed_it() {
    let leases = Leases::default();
    let group = Arc::from("g");
    let row = row(&lease(Phase::Working), 5);
    leases.on_row(at(0), &group, &row);
    assert!(!leases.may_acquire(at(3_000), &group, Some(&row), &run(1, 1)));
    assert!(leases.may_acquire(at(3_500), &group, Some(&row), &run(1, 1)));
}
