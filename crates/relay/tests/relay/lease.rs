//! Who may replace a primary.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use relay::failover::Lease;
use relay::failover::Leases;
use relay::failover::Phase;
use store::Condition;
use store::Row;
use store::Write;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn lease(phase: Phase) -> Lease {
    Lease {
        holder: Arc::from("i1"),
        life: 7,
        token: 3,
        phase,
        holders: BTreeSet::from([Arc::from("a"), Arc::from("b")]),
    }
}

fn row(lease: &Lease, version: u64) -> Row {
    let (_, write) = lease.replace("g", None);
    let Write::Put { key, value } = write else {
        panic!("a lease is put");
    };
    Row {
        key,
        value,
        version,
    }
}

#[test]
fn a_duty_that_nobody_has_is_free() {
    let group = Arc::from("g");
    assert!(Leases::default().may_take(at(0), &group, None, 1));
}

#[test]
fn a_holder_at_work_keeps_it_until_its_row_stands_still() {
    let leases = Leases::default();
    let group = Arc::from("g");
    let working = lease(Phase::Working);
    assert!(!leases.may_take(at(0), &group, Some(&row(&working, 5)), 1));
    assert!(!leases.may_take(at(3_000), &group, Some(&row(&working, 6)), 1));
    assert!(!leases.may_take(at(6_000), &group, Some(&row(&working, 6)), 1));
    assert!(leases.may_take(at(6_500), &group, Some(&row(&working, 6)), 1));
}

#[test]
fn the_last_holder_goes_first() {
    let leases = Leases::default();
    let group = Arc::from("g");
    let done = row(&lease(Phase::Done), 5);
    assert!(leases.may_take(at(0), &group, Some(&done), 7));
    assert!(!leases.may_take(at(0), &group, Some(&done), 1));
    assert!(leases.may_take(at(700), &group, Some(&done), 1));
}

#[test]
fn a_duty_is_replaced_only_as_it_was_read() {
    let before = row(&lease(Phase::Done), 5);
    let (condition, write) = lease(Phase::Working).replace("g", Some(&before));
    let key: Arc<str> = Arc::from("group/duty/g");
    assert_eq!(condition, Condition::Version { key, version: 5 });
    let Write::Put { value, .. } = write else {
        panic!("a lease is put");
    };
    let read = Lease::read(&Row { value, ..before });
    assert_eq!(read, Some(lease(Phase::Working)));
}
