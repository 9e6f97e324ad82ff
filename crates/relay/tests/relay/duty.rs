//! Who may replace a primary.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use relay::failover::Duties;
use relay::failover::Duty;
use relay::failover::Phase;
use store::Condition;
use store::Row;
use store::Write;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn duty(phase: Phase) -> Duty {
    Duty {
        holder: Arc::from("i1"),
        life: 7,
        token: 3,
        phase,
        holders: BTreeSet::from([Arc::from("a"), Arc::from("b")]),
    }
}

fn row(duty: &Duty, version: u64) -> Row {
    let (_, write) = duty.replace("g", None);
    let Write::Put { key, value } = write else {
        panic!("a duty is put");
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
    assert!(Duties::default().may_take(at(0), &group, None, 1));
}

#[test]
fn a_holder_at_work_keeps_it_until_its_row_stands_still() {
    let duties = Duties::default();
    let group = Arc::from("g");
    let working = duty(Phase::Working);
    assert!(!duties.may_take(at(0), &group, Some(&row(&working, 5)), 1));
    assert!(!duties.may_take(at(3_000), &group, Some(&row(&working, 6)), 1));
    assert!(!duties.may_take(at(6_000), &group, Some(&row(&working, 6)), 1));
    assert!(duties.may_take(at(6_500), &group, Some(&row(&working, 6)), 1));
}

#[test]
fn the_last_holder_goes_first() {
    let duties = Duties::default();
    let group = Arc::from("g");
    let done = row(&duty(Phase::Done), 5);
    assert!(duties.may_take(at(0), &group, Some(&done), 7));
    assert!(!duties.may_take(at(0), &group, Some(&done), 1));
    assert!(duties.may_take(at(700), &group, Some(&done), 1));
}

#[test]
fn a_duty_is_replaced_only_as_it_was_read() {
    let before = row(&duty(Phase::Done), 5);
    let (condition, write) = duty(Phase::Working).replace("g", Some(&before));
    let key: Arc<str> = Arc::from("group/duty/g");
    assert_eq!(condition, Condition::Version { key, version: 5 });
    let Write::Put { value, .. } = write else {
        panic!("a duty is put");
    };
    let read = Duty::read(&Row { value, ..before });
    assert_eq!(read, Some(duty(Phase::Working)));
}
