//! The decisions about a change, one step at a time.

use std::collections::BTreeMap;
use std::sync::Arc;

use futures::FutureExt;
use settings::Answer;
use settings::Change;
use settings::Edit;
use settings::HEAD;
use settings::Head;
use settings::RECENT_CHANGES;
use settings::Snapshot;
use settings::Step;
use settings::TREE;
use settings::change_key;
use settings::restore;
use store::Error;
use store::Memory;
use store::Outcome;
use store::Row;
use store::Table;
use test_case::test_case;

use crate::sample::change;

pub fn get(memory: &Memory, key: &str) -> Option<Row> {
    let row = Table::get(memory, key).now_or_never();
    row.expect("memory answers at once")
        .expect("memory never fails")
}

fn rows(memory: &Memory, step: &Step) -> BTreeMap<Arc<str>, Row> {
    let Step::Read { keys } = step else {
        panic!("expected a read, got {step:?}");
    };
    let rows = keys.iter().filter_map(|key| get(memory, key));
    rows.map(|row| (Arc::clone(&row.key), row)).collect()
}

fn commit(memory: &Memory, step: &Step) -> Outcome {
    let Step::Commit { conditions, writes } = step.clone() else {
        panic!("expected a commit, got {step:?}");
    };
    let outcome = memory.commit(conditions, writes).now_or_never();
    outcome
        .expect("memory answers at once")
        .expect("memory never fails")
}

fn run(memory: &Memory, change: Change) -> Answer {
    let (mut edit, mut step) = Edit::begin(change, 0, 0, false);
    loop {
        step = match &step {
            Step::Read { .. } => edit.on_rows(Ok(rows(memory, &step))),
            Step::Commit { .. } => edit.on_outcome(Ok(commit(memory, &step))),
            Step::Done(answer) => return answer.clone(),
        };
    }
}

fn lost() -> Error {
    Error::Unknown {
        step: "commit",
        peer: "table".to_owned(),
        why: "connection lost".to_owned(),
    }
}

fn revision(memory: &Memory) -> u64 {
    Snapshot::read_row(get(memory, TREE).as_ref())
        .unwrap()
        .revision
}

#[test]
fn an_accepted_change_is_found_again_and_not_applied_twice() {
    let memory = Memory::open();
    let change = change("c1", 0, "values/deadline_ms", 100);
    let first = run(&memory, change.clone());
    assert!(matches!(
        first,
        Answer::Accepted {
            snapshot: Some(_),
            ..
        }
    ));
    let again = run(&memory, change);
    let Answer::Accepted {
        record,
        snapshot: None,
    } = again
    else {
        panic!("expected the earlier acceptance, got {again:?}");
    };
    assert_eq!(record.revision, 1);
    assert_eq!(revision(&memory), 1);
    let head = Head::read(get(&memory, HEAD).as_ref()).unwrap();
    let snapshot = Snapshot::read_row(get(&memory, TREE).as_ref()).unwrap();
    assert_eq!(head, Head::of(&snapshot));
}

#[test]
fn an_id_is_not_used_for_another_change() {
    let memory = Memory::open();
    run(&memory, change("c1", 0, "values/deadline_ms", 100));
    let other = run(&memory, change("c1", 1, "values/deadline_ms", 200));
    assert!(matches!(other, Answer::Reused { .. }), "{other:?}");
    assert_eq!(revision(&memory), 1);
}

#[test]
fn of_racing_operators_one_wins_and_the_other_sees_what_changed() {
    let memory = Memory::open();
    let (mut one, one_read) = Edit::begin(change("c1", 0, "values/burst", 1), 0, 0, false);
    let (mut two, two_read) = Edit::begin(change("c2", 0, "values/weight", 2), 0, 0, false);
    let one_commit = one.on_rows(Ok(rows(&memory, &one_read)));
    let two_commit = two.on_rows(Ok(rows(&memory, &two_read)));
    let won = one.on_outcome(Ok(commit(&memory, &one_commit)));
    assert!(matches!(won, Step::Done(Answer::Accepted { .. })));
    let outcome = commit(&memory, &two_commit);
    assert!(matches!(outcome, Outcome::Conflict { .. }));
    let reread = two.on_outcome(Ok(outcome));
    let Step::Done(Answer::Conflict { revision, since }) = two.on_rows(Ok(rows(&memory, &reread)))
    else {
        panic!("expected a conflict");
    };
    assert_eq!(
        (revision, &*since[0].id, &*since[0].paths[0]),
        (1, "c1", "values/burst")
    );
}

#[test]
fn a_lost_answer_after_the_effect_is_found() {
    let memory = Memory::open();
    let (mut edit, read) = Edit::begin(change("c1", 0, "values/burst", 1), 0, 0, false);
    let step = edit.on_rows(Ok(rows(&memory, &read)));
    commit(&memory, &step);
    let reread = edit.on_outcome(Err(lost()));
    let done = edit.on_rows(Ok(rows(&memory, &reread)));
    assert!(matches!(done, Step::Done(Answer::Accepted { .. })));
    assert_eq!(revision(&memory), 1);
}

#[test]
fn a_lost_answer_before_the_effect_is_tried_again_and_the_late_copy_does_nothing() {
    let memory = Memory::open();
    let (mut edit, read) = Edit::begin(change("c1", 0, "values/burst", 1), 0, 0, false);
    let late = edit.on_rows(Ok(rows(&memory, &read)));
    let reread = edit.on_outcome(Err(lost()));
    let again = edit.on_rows(Ok(rows(&memory, &reread)));
    let done = edit.on_outcome(Ok(commit(&memory, &again)));
    assert!(matches!(done, Step::Done(Answer::Accepted { .. })));
    assert!(matches!(commit(&memory, &late), Outcome::Conflict { .. }));
    assert_eq!(revision(&memory), 1);
}

#[test]
fn a_conflict_told_after_a_lost_answer_stays_true() {
    let memory = Memory::open();
    let (mut edit, read) = Edit::begin(change("c1", 0, "values/burst", 1), 0, 0, false);
    let late = edit.on_rows(Ok(rows(&memory, &read)));
    run(&memory, change("c2", 0, "values/weight", 2));
    let reread = edit.on_outcome(Err(lost()));
    let done = edit.on_rows(Ok(rows(&memory, &reread)));
    assert!(matches!(done, Step::Done(Answer::Conflict { .. })));
    assert!(matches!(commit(&memory, &late), Outcome::Conflict { .. }));
    assert_eq!(revision(&memory), 1);
}

#[test]
fn the_tree_is_read_before_the_changes_row() {
    let (_, step) = Edit::begin(change("c1", 0, "values/burst", 1), 0, 0, false);
    let Step::Read { keys } = step else {
        panic!("expected a read");
    };
    let place = |key: &str| keys.iter().position(|other| **other == *key).unwrap();
    assert!(place(TREE) < place(&change_key("c1")));
}

#[test_case(true ; "answers to commits are lost")]
#[test_case(false ; "nothing was sent")]
fn doubt_is_told_only_if_there_is_any(is_in_doubt: bool) {
    let memory = Memory::open();
    let (mut edit, mut step) = Edit::begin(change("c1", 0, "values/burst", 1), 0, 0, false);
    for _ in 0..20 {
        step = match &step {
            Step::Read { .. } if is_in_doubt => edit.on_rows(Ok(rows(&memory, &step))),
            Step::Read { .. } => edit.on_rows(Err(lost())),
            Step::Commit { .. } => edit.on_outcome(Err(lost())),
            Step::Done(_) => break,
        };
    }
    let Step::Done(answer) = step else {
        panic!("the edit does not go on for ever");
    };
    assert_eq!(matches!(answer, Answer::Unknown { .. }), is_in_doubt);
    assert_eq!(matches!(answer, Answer::NotDone { .. }), !is_in_doubt);
}

#[test]
fn a_refused_commit_after_a_lost_one_leaves_doubt() {
    let memory = Memory::open();
    let (mut edit, read) = Edit::begin(change("c1", 0, "values/burst", 1), 0, 0, false);
    edit.on_rows(Ok(rows(&memory, &read)));
    let reread = edit.on_outcome(Err(lost()));
    edit.on_rows(Ok(rows(&memory, &reread)));
    let refused = Error::Refused {
        step: "commit",
        peer: "table".to_owned(),
        why: "overloaded".to_owned(),
    };
    let done = edit.on_outcome(Err(refused));
    assert!(matches!(done, Step::Done(Answer::Unknown { .. })));
}

#[test]
fn a_table_behind_what_is_in_force_takes_no_change_and_is_restored() {
    let memory = Memory::open();
    run(&memory, change("c1", 0, "values/burst", 1));
    let held = Snapshot::of(3, "c3", &crate::sample::tree());
    let (mut edit, read) = Edit::begin(change("c2", 1, "values/burst", 2), 3, 0, false);
    let done = edit.on_rows(Ok(rows(&memory, &read)));
    assert_eq!(done, Step::Done(Answer::Behind { table: 1, held: 3 }));
    let step = restore(get(&memory, TREE).as_ref(), &held).unwrap();
    commit(&memory, &step);
    assert_eq!(revision(&memory), 3);
    assert_eq!(restore(get(&memory, TREE).as_ref(), &held), None);
    let next = run(&memory, change("c4", 3, "values/burst", 4));
    assert!(matches!(next, Answer::Accepted { .. }), "{next:?}");
}

#[test]
fn records_are_bounded_and_an_older_id_is_a_conflict() {
    let memory = Memory::open();
    let count = RECENT_CHANGES as u64 + 2;
    for number in 0..count {
        let id = format!("c{number}");
        let answer = run(&memory, change(&id, number, "values/burst", number));
        assert!(matches!(answer, Answer::Accepted { .. }), "{answer:?}");
    }
    let listed = Table::list(&*memory, "settings/change/").now_or_never();
    assert_eq!(listed.unwrap().unwrap().len(), RECENT_CHANGES);
    let old = run(&memory, change("c0", 0, "values/burst", 0));
    let Answer::Conflict { since, .. } = old else {
        panic!("expected a conflict, got {old:?}");
    };
    assert_eq!(since.len(), RECENT_CHANGES);
    assert_eq!(revision(&memory), count);
}

#[test_case("" ; "empty")]
#[test_case("a/b" ; "slash")]
#[test_case("../head" ; "path")]
fn wrong_ids_are_refused(id: &str) {
    let (_, step) = Edit::begin(change(id, 0, "values/burst", 1), 0, 0, false);
    assert!(matches!(step, Step::Done(Answer::Refused { .. })));
}

#[test]
fn a_dry_run_writes_nothing() {
    let memory = Memory::open();
    let (mut edit, read) = Edit::begin(change("c1", 0, "values/burst", 1), 0, 0, true);
    let done = edit.on_rows(Ok(rows(&memory, &read)));
    assert!(matches!(done, Step::Done(Answer::Acceptable { .. })));
    assert_eq!(get(&memory, TREE), None);
}
