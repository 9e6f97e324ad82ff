//! Writes in doubt: slices that may have been released are not used.

use std::sync::Arc;

use account::rate::Action;
use account::rate::Limiter;
use account::rate::Member;
use account::rate::Policy;
use account::rate::Row;
use account::rate::SLICE_COUNT;
use clock::Span;
use clock::Time;
use store::Condition;
use store::Error;
use store::Outcome;
use store::Write;
use test_case::test_case;

fn read(limiter: &mut Limiter, now: Time, rows: Vec<store::Row>) -> Vec<Action> {
    let id = limiter
        .tick(now)
        .into_iter()
        .find_map(|action| match action {
            Action::Read { id } => Some(id),
            _ => None,
        });
    limiter.on_read(now, id.expect("a read is due"), Ok(rows))
}

fn commit(actions: Vec<Action>) -> Option<(u64, Vec<Condition>, Vec<Write>)> {
    actions.into_iter().find_map(|action| match action {
        Action::Commit {
            id,
            conditions,
            writes,
        } => Some((id, conditions, writes)),
        _ => None,
    })
}

/// Returns the rows that `writes` put, with version `version`.
fn rows(writes: &[Write], version: u64) -> Vec<store::Row> {
    let row = |write: &Write| match write {
        Write::Put { key, value } => Some(store::Row {
            key: Arc::clone(key),
            value: Arc::clone(value),
            version,
        }),
        Write::Delete { .. } => None,
    };
    writes.iter().filter_map(row).collect()
}

/// Returns the row of a new member without slices.
fn new_member_row() -> store::Row {
    let member = Member {
        name: Arc::from("two"),
        life: 9,
    };
    let row = Row {
        member: member.clone(),
        address: ([127, 0, 0, 2], 7_000).into(),
        serial: 1,
        lapsed: false,
        lease_ms: 1_000,
        pinned: 0,
        mobile: 0,
        electors: vec![member.clone()],
        zone: None,
        version: 1,
    };
    store::Row {
        key: member.key(),
        value: Arc::from(serde_json::to_string(&row).expect("plain data")),
        version: 2,
    }
}

fn unknown() -> Result<Outcome, Error> {
    Err(Error::Unknown {
        step: "commit",
        peer: String::from("table"),
        why: String::from("time-out"),
    })
}

fn refused() -> Result<Outcome, Error> {
    Err(Error::Refused {
        step: "commit",
        peer: String::from("table"),
        why: String::from("no connection"),
    })
}

// A conflict may be with a duplicate of the same write sent by the transport.
#[test_case(Ok(Outcome::Conflict { rows: Vec::new() }), SLICE_COUNT / 2; "a conflict")]
#[test_case(unknown(), SLICE_COUNT / 2; "no answer")]
#[test_case(refused(), SLICE_COUNT; "certainly not done")]
fn slices_possibly_given_back_are_not_used(answer: Result<Outcome, Error>, used: u32) {
    let mut now = Time::ZERO + Span::from_secs(1);
    let mut limiter = Limiter::open("one", 1, ([127, 0, 0, 1], 7_000).into(), Policy::default());
    let actions = read(&mut limiter, now, Vec::new());
    let (id, _, writes) = commit(actions).expect("acquires free slices");
    limiter.on_commit(now, id, Ok(Outcome::Committed { version: 1 }));
    now = now + Span::from_millis(500);
    let mut table = rows(&writes, 1);
    table.push(new_member_row());
    let actions = read(&mut limiter, now, table);
    assert_eq!(
        limiter.schedule().slice_count(now),
        SLICE_COUNT / 2,
        "unused from the first attempt on"
    );
    let (id, _, _) = commit(actions).expect("releases slices");
    limiter.on_commit(now, id, answer);
    assert_eq!(limiter.schedule().slice_count(now), used);
}
