//! The steps of a promotion, and what may go wrong between them.

mod rig;

use std::sync::Arc;

use endpoint::Role;
use group::Action;
use group::Outcome;
use group::Phase;
use group::Row;
use rig::HEALTHY;
use rig::Rig;
use rig::at;
use rig::commit_of_all;
use rig::ms;
use rig::promoted;
use rig::recorded;

/// Returns the row that another instance wrote to order term 2.
fn foreign_order() -> Row {
    Row {
        revision: 2,
        term: 2,
        phase: Phase::Ordered,
        promoter: Arc::from("i9"),
        ..Row::first(1, Arc::from("e0"))
    }
}

/// Runs a promotion until its candidate is written and ordered to lead.
fn promote(rig: &mut Rig) -> Row {
    rig.order();
    let actions = rig.run(ms(700));
    let row = rig.commit(&actions).expect("a candidate is written");
    let actions = rig.run(ms(10));
    let candidate = row.candidate.as_deref().map(str::to_owned);
    assert_eq!(promoted(&actions).first().map(|p| p.0.clone()), candidate);
    row
}

#[test]
fn the_candidate_is_chosen_after_the_lease_by_the_highest_position() {
    let mut rig = Rig::open();
    rig.order();
    assert!(
        commit_of_all(&rig.run(ms(600))).is_none(),
        "proofs of term 1 may still be in use"
    );
    // A replica that still followed the old primary received more during the wait.
    rig.servers = vec![("e1", Role::Replica, 1, 10), ("e2", Role::Replica, 1, 14)];
    let actions = rig.run(ms(30));
    let row = rig.commit(&actions).expect("a candidate is written");
    assert_eq!(row.candidate.as_deref(), Some("e2"));
    assert_eq!((row.base, row.term), (Some(at(1, 14)), 2));
    let actions = rig.run(ms(10));
    assert_eq!(promoted(&actions), [("e2".to_owned(), 2)]);
    rig.servers[1] = ("e2", Role::Primary, 2, 15);
    let actions = rig.run(ms(10));
    let row = rig.commit(&actions).expect("the promotion is complete");
    assert_eq!(
        (row.phase, &*row.primary, row.primary_term),
        (Phase::Steady, "e2", 2)
    );
    let actions = rig.run(ms(10));
    assert!(actions.iter().any(|a| matches!(a, Action::Announce { .. })));
}

#[test]
fn without_a_majority_of_the_servers_nothing_is_promoted() {
    let mut rig = Rig::open();
    rig.order();
    rig.servers = HEALTHY[1..2].into();
    let actions = rig.run(ms(2_000));
    assert!(commit_of_all(&actions).is_none());
    assert!(recorded(
        &actions,
        "no-promotion",
        Some("no-majority-of-servers")
    ));
}

#[test]
fn a_candidate_waits_for_what_only_the_old_primary_holds() {
    let mut rig = Rig::open();
    rig.order();
    rig.servers = vec![("e0", Role::Primary, 1, 14), ("e1", Role::Replica, 1, 10)];
    assert!(commit_of_all(&rig.run(ms(900))).is_none());
    rig.servers[1].3 = 14;
    let row = commit_of_all(&rig.run(ms(30))).expect("a candidate is written");
    assert_eq!(row.candidate.as_deref(), Some("e1"));
}

#[test]
fn a_lost_answer_of_the_table_is_settled_by_reading_again() {
    let mut rig = Rig::open();
    rig.servers = HEALTHY[1..].into();
    rig.run(ms(700));
    rig.vote(1, &[("i2", Some(false))]);
    let row = commit_of_all(&rig.run(ms(10))).expect("the promotion is ordered");
    rig.view
        .on_commit_result(rig.now, rig.now, row.clone(), Outcome::Unknown);
    let held = rig.table.take();
    assert!(
        commit_of_all(&rig.view.tick(rig.now)).is_none(),
        "the row is read first"
    );
    // The write took effect: the promoter goes on from its own row.
    rig.table = Some((row, 2));
    let actions = rig.run(ms(700));
    let next = commit_of_all(&actions).expect("a candidate is written");
    assert_eq!((next.term, next.candidate.as_deref()), (2, Some("e2")));
    assert!(held.is_some());
}

#[test]
fn of_two_promoters_the_second_stands_back() {
    let mut rig = Rig::open();
    rig.servers = HEALTHY[1..].into();
    rig.run(ms(700));
    rig.vote(1, &[("i2", Some(false))]);
    let own = commit_of_all(&rig.run(ms(10))).expect("the promotion is ordered");
    let current = Some((foreign_order(), 2));
    rig.table = current.clone();
    let outcome = Outcome::Conflict { current };
    rig.view.on_commit_result(rig.now, rig.now, own, outcome);
    let actions = rig.run(ms(1_500));
    assert!(commit_of_all(&actions).is_none() && promoted(&actions).is_empty());
}

#[test]
fn a_promotion_whose_promoter_died_is_taken_over_and_waits_the_lease_again() {
    let mut rig = Rig::open();
    rig.servers = HEALTHY[1..].into();
    rig.table = Some((foreign_order(), 2));
    rig.run(ms(10));
    let seen = rig.now;
    let actions = rig.run(ms(2_000));
    let row = rig.commit(&actions).expect("the promotion is taken over");
    assert_eq!((row.term, &*row.promoter, row.candidate), (2, "i1", None));
    let actions = rig.run(ms(30));
    let row = rig.commit(&actions).expect("a candidate is written");
    assert!(row.candidate.is_some());
    assert!(
        rig.now.since(seen) >= ms(610),
        "the lease ran from the first sight of the order"
    );
}

#[test]
fn a_written_candidate_is_kept_when_the_promotion_is_taken_over() {
    let mut rig = Rig::open();
    rig.servers = HEALTHY[1..].into();
    let written = Row {
        revision: 3,
        candidate: Some(Arc::from("e1")),
        base: Some(at(1, 9)),
        ..foreign_order()
    };
    rig.table = Some((written, 3));
    let actions = rig.run(ms(2_000));
    let row = rig.commit(&actions).expect("the promotion is taken over");
    assert_eq!((row.term, row.candidate.as_deref()), (2, Some("e1")));
    assert_eq!(promoted(&rig.run(ms(10))), [("e1".to_owned(), 2)]);
}

#[test]
fn any_instance_completes_a_promotion_that_took_effect() {
    let mut rig = Rig::open();
    rig.servers = vec![("e1", Role::Primary, 2, 11), ("e2", Role::Replica, 2, 11)];
    let written = Row {
        revision: 3,
        candidate: Some(Arc::from("e1")),
        base: Some(at(1, 9)),
        ..foreign_order()
    };
    rig.table = Some((written, 3));
    let actions = rig.run(ms(300));
    let row = rig.commit(&actions).expect("the promotion is completed");
    assert_eq!((row.phase, &*row.primary), (Phase::Steady, "e1"));
}

#[test]
fn a_candidate_that_dies_is_replaced_under_a_higher_term() {
    let mut rig = Rig::open();
    let row = promote(&mut rig);
    assert_eq!(row.candidate.as_deref(), Some("e2"));
    // The second failure during the first: the candidate dies, the old primary comes back.
    rig.servers = vec![("e0", Role::Replica, 1, 10), ("e1", Role::Replica, 1, 10)];
    let actions = rig.run(ms(800));
    let row = rig.commit(&actions).expect("the next term is ordered");
    assert_eq!((row.term, row.candidate), (3, None));
    let seen = rig.now;
    let actions = rig.run(ms(700));
    let row = rig.commit(&actions).expect("another candidate is written");
    assert_eq!((row.term, row.candidate.is_some()), (3, true));
    assert!(rig.now.since(seen) >= ms(610));
}

#[test]
fn instances_that_all_gave_up_their_proofs_need_not_be_waited_for() {
    let mut rig = Rig::open();
    let ordered = rig.order();
    rig.run(ms(10));
    rig.instances(&["i1", "i2", "i3"]);
    rig.view.on_acknowledged(rig.now, "i2", ordered.revision);
    assert!(
        commit_of_all(&rig.run(ms(100))).is_none(),
        "one instance may hold a proof"
    );
    rig.view.on_acknowledged(rig.now, "i3", ordered.revision);
    let row = commit_of_all(&rig.run(ms(20))).expect("a candidate is written");
    assert!(row.candidate.is_some());
}

#[test]
fn a_list_of_instances_read_before_the_order_does_not_count() {
    let mut rig = Rig::open();
    let before = rig.now;
    let ordered = rig.order();
    rig.run(ms(10));
    let names = ["i1", "i2"].map(Arc::from).into();
    rig.view.on_instances(rig.now, before, names);
    rig.view.on_acknowledged(rig.now, "i2", ordered.revision);
    assert!(commit_of_all(&rig.run(ms(100))).is_none());
}

#[test]
fn a_planned_hand_over_waits_until_a_replica_holds_what_the_primary_wrote() {
    let mut rig = Rig::open();
    rig.run(ms(50));
    rig.view.request_handover(rig.now, "leaving", "e0");
    let actions = rig.run(ms(10));
    let ordered = rig.commit(&actions).expect("the hand-over is ordered");
    assert!(ordered.planned && rig.view.may_send_write(rig.now).is_err());
    rig.run(ms(10));
    rig.instances(&["i1", "i2"]);
    rig.view.on_acknowledged(rig.now, "i2", ordered.revision);
    rig.servers[0].3 = 12;
    assert!(
        commit_of_all(&rig.run(ms(100))).is_none(),
        "the last writes are on their way"
    );
    rig.servers[2].3 = 12;
    let actions = rig.run(ms(20));
    let row = rig.commit(&actions).expect("a candidate is written");
    assert_eq!(
        (row.candidate.as_deref(), row.base),
        (Some("e2"), Some(at(1, 12)))
    );
}

#[test]
fn a_planned_hand_over_does_not_begin_while_every_replica_is_far_behind() {
    let mut rig = Rig::open();
    rig.servers[0].3 = 99;
    rig.run(ms(1_000));
    rig.view.request_handover(rig.now, "leaving", "e0");
    let actions = rig.run(ms(500));
    assert!(commit_of_all(&actions).is_none());
    assert!(recorded(
        &actions,
        "no-promotion",
        Some("no-replica-close-enough")
    ));
    rig.servers[1].3 = 99;
    assert!(commit_of_all(&rig.run(ms(20))).is_some());
}

#[test]
fn the_first_row_is_proposed_once_every_server_answers() {
    let mut rig = Rig::open_empty();
    rig.servers = HEALTHY[..2].into();
    let created = |rig: &mut Rig| {
        rig.feed();
        rig.view.on_no_row(rig.now);
        let actions = rig.view.tick(rig.now);
        actions.into_iter().find_map(|action| match action {
            Action::Create { row } => Some(row),
            _ => None,
        })
    };
    assert_eq!(created(&mut rig), None);
    rig.servers = HEALTHY.into();
    let row = created(&mut rig).expect("the first row is proposed");
    assert_eq!(row, Row::first(1, Arc::from("e0")));
    assert_eq!(Row::parse("orders", &row.to_json()).ok(), Some(row));
    assert!(Row::parse("orders", "{}").is_err());
}
