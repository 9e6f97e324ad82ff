//! Tests of the steps of a promotion and of failures between them.

mod harness;

use std::sync::Arc;

use endpoint::Role;
use group::Action;
use group::Outcome;
use group::Phase;
use group::Row;
use harness::HEALTHY;
use harness::Harness;
use harness::at;
use harness::commit_of_all;
use harness::ms;
use harness::promoted;
use harness::recorded;

/// Returns a row in which another instance ordered term 2.
fn foreign_order() -> Row {
    Row {
        revision: 2,
        term: 2,
        phase: Phase::Ordered,
        promoter: Arc::from("i9"),
        ..Row::first(1, Arc::from("e0"))
    }
}

/// Runs a promotion until its candidate is written and told to promote.
fn promote(harness: &mut Harness) -> Row {
    harness.order();
    let actions = harness.run(ms(700));
    let row = harness.commit(&actions).expect("a candidate is written");
    let actions = harness.run(ms(10));
    let candidate = row.candidate.as_deref().map(str::to_owned);
    assert_eq!(promoted(&actions).first().map(|p| p.0.clone()), candidate);
    row
}

#[test]
fn the_candidate_with_the_highest_position_is_chosen_after_the_lease() {
    let mut harness = Harness::open();
    harness.order();
    assert!(
        commit_of_all(&harness.run(ms(600))).is_none(),
        "proofs of term 1 may still be valid"
    );
    // A replica that still followed the old primary has received more during the lease.
    harness.servers = vec![("e1", Role::Replica, 1, 10), ("e2", Role::Replica, 1, 14)];
    let actions = harness.run(ms(30));
    let row = harness.commit(&actions).expect("a candidate is written");
    assert_eq!(row.candidate.as_deref(), Some("e2"));
    assert_eq!((row.base, row.term), (Some(at(1, 14)), 2));
    let actions = harness.run(ms(10));
    assert_eq!(promoted(&actions), [("e2".to_owned(), 2)]);
    harness.servers[1] = ("e2", Role::Primary, 2, 15);
    let actions = harness.run(ms(10));
    let row = harness.commit(&actions).expect("the promotion is complete");
    assert_eq!(
        (row.phase, &*row.primary, row.primary_term),
        (Phase::Steady, "e2", 2)
    );
    let actions = harness.run(ms(10));
    assert!(actions.iter().any(|a| matches!(a, Action::Announce { .. })));
}

#[test]
fn without_a_majority_of_the_servers_nothing_is_promoted() {
    let mut harness = Harness::open();
    harness.order();
    harness.servers = HEALTHY[1..2].into();
    let actions = harness.run(ms(2_000));
    assert!(commit_of_all(&actions).is_none());
    assert!(recorded(
        &actions,
        "no-promotion",
        Some("no-majority-of-servers")
    ));
}

#[test]
fn no_candidate_is_written_while_only_the_old_primary_holds_the_highest_position() {
    let mut harness = Harness::open();
    harness.order();
    harness.servers = vec![("e0", Role::Primary, 1, 14), ("e1", Role::Replica, 1, 10)];
    assert!(commit_of_all(&harness.run(ms(900))).is_none());
    harness.servers[1].3 = 14;
    let row = commit_of_all(&harness.run(ms(30))).expect("a candidate is written");
    assert_eq!(row.candidate.as_deref(), Some("e1"));
}

#[test]
fn a_commit_with_an_unknown_outcome_is_resolved_by_reading_the_row() {
    let mut harness = Harness::open();
    harness.servers = HEALTHY[1..].into();
    harness.run(ms(700));
    harness.vote(1, &[("i2", Some(false))]);
    let row = commit_of_all(&harness.run(ms(10))).expect("the promotion is ordered");
    harness
        .view
        .on_commit_result(harness.now, harness.now, row.clone(), Outcome::Unknown);
    let held = harness.table.take();
    assert!(
        commit_of_all(&harness.view.tick(harness.now)).is_none(),
        "the row is read first"
    );
    // The row was written: the promoter continues from it.
    harness.table = Some((row, 2));
    let actions = harness.run(ms(700));
    let next = commit_of_all(&actions).expect("a candidate is written");
    assert_eq!((next.term, next.candidate.as_deref()), (2, Some("e2")));
    assert!(held.is_some());
}

#[test]
fn the_second_of_two_promoters_yields() {
    let mut harness = Harness::open();
    harness.servers = HEALTHY[1..].into();
    harness.run(ms(700));
    harness.vote(1, &[("i2", Some(false))]);
    let own = commit_of_all(&harness.run(ms(10))).expect("the promotion is ordered");
    let current = Some((foreign_order(), 2));
    harness.table = current.clone();
    let outcome = Outcome::Conflict { current };
    harness
        .view
        .on_commit_result(harness.now, harness.now, own, outcome);
    let actions = harness.run(ms(1_500));
    assert!(commit_of_all(&actions).is_none() && promoted(&actions).is_empty());
}

#[test]
fn a_promotion_whose_promoter_failed_is_taken_over_after_the_lease() {
    let mut harness = Harness::open();
    harness.servers = HEALTHY[1..].into();
    harness.table = Some((foreign_order(), 2));
    harness.run(ms(10));
    let seen = harness.now;
    let actions = harness.run(ms(2_000));
    let row = harness
        .commit(&actions)
        .expect("the promotion is taken over");
    assert_eq!((row.term, &*row.promoter, row.candidate), (2, "i1", None));
    let actions = harness.run(ms(30));
    let row = harness.commit(&actions).expect("a candidate is written");
    assert!(row.candidate.is_some());
    assert!(
        harness.now.since(seen) >= ms(610),
        "the lease counts from the first observation of the order"
    );
}

#[test]
fn a_written_candidate_is_kept_when_the_promotion_is_taken_over() {
    let mut harness = Harness::open();
    harness.servers = HEALTHY[1..].into();
    let written = Row {
        revision: 3,
        candidate: Some(Arc::from("e1")),
        base: Some(at(1, 9)),
        ..foreign_order()
    };
    harness.table = Some((written, 3));
    let actions = harness.run(ms(2_000));
    let row = harness
        .commit(&actions)
        .expect("the promotion is taken over");
    assert_eq!((row.term, row.candidate.as_deref()), (2, Some("e1")));
    assert_eq!(promoted(&harness.run(ms(10))), [("e1".to_owned(), 2)]);
}

#[test]
fn any_instance_completes_a_promotion_that_took_effect() {
    let mut harness = Harness::open();
    harness.servers = vec![("e1", Role::Primary, 2, 11), ("e2", Role::Replica, 2, 11)];
    let written = Row {
        revision: 3,
        candidate: Some(Arc::from("e1")),
        base: Some(at(1, 9)),
        ..foreign_order()
    };
    harness.table = Some((written, 3));
    let actions = harness.run(ms(300));
    let row = harness
        .commit(&actions)
        .expect("the promotion is completed");
    assert_eq!((row.phase, &*row.primary), (Phase::Steady, "e1"));
}

#[test]
fn a_candidate_that_fails_is_replaced_in_a_higher_term() {
    let mut harness = Harness::open();
    let row = promote(&mut harness);
    assert_eq!(row.candidate.as_deref(), Some("e2"));
    // A second failure during the promotion: the candidate fails and the old primary returns.
    harness.servers = vec![("e0", Role::Replica, 1, 10), ("e1", Role::Replica, 1, 10)];
    let actions = harness.run(ms(800));
    let row = harness.commit(&actions).expect("the next term is ordered");
    assert_eq!((row.term, row.candidate), (3, None));
    let seen = harness.now;
    let actions = harness.run(ms(700));
    let row = harness
        .commit(&actions)
        .expect("another candidate is written");
    assert_eq!((row.term, row.candidate.is_some()), (3, true));
    assert!(harness.now.since(seen) >= ms(610));
}

#[test]
fn the_lease_is_not_awaited_once_all_instances_gave_up_their_proofs() {
    let mut harness = Harness::open();
    let ordered = harness.order();
    harness.run(ms(10));
    harness.instances(&["i1", "i2", "i3"]);
    harness
        .view
        .on_acknowledged(harness.now, "i2", ordered.revision);
    assert!(
        commit_of_all(&harness.run(ms(100))).is_none(),
        "one instance may still hold a proof"
    );
    harness
        .view
        .on_acknowledged(harness.now, "i3", ordered.revision);
    let row = commit_of_all(&harness.run(ms(20))).expect("a candidate is written");
    assert!(row.candidate.is_some());
}

#[test]
fn a_list_of_instances_read_before_the_order_does_not_count() {
    let mut harness = Harness::open();
    let before = harness.now;
    let ordered = harness.order();
    harness.run(ms(10));
    let names = ["i1", "i2"].map(Arc::from).into();
    harness.view.on_instances(harness.now, before, names);
    harness
        .view
        .on_acknowledged(harness.now, "i2", ordered.revision);
    assert!(commit_of_all(&harness.run(ms(100))).is_none());
}

#[test]
fn a_planned_handover_waits_until_a_replica_holds_all_writes_of_the_primary() {
    let mut harness = Harness::open();
    harness.run(ms(50));
    harness.view.request_handover(harness.now, "leaving", "e0");
    let actions = harness.run(ms(10));
    let ordered = harness.commit(&actions).expect("the handover is ordered");
    assert!(ordered.planned && harness.view.may_send_write(harness.now).is_err());
    harness.run(ms(10));
    harness.instances(&["i1", "i2"]);
    harness
        .view
        .on_acknowledged(harness.now, "i2", ordered.revision);
    harness.servers[0].3 = 12;
    assert!(
        commit_of_all(&harness.run(ms(100))).is_none(),
        "the last writes are not replicated yet"
    );
    harness.servers[2].3 = 12;
    let actions = harness.run(ms(20));
    let row = harness.commit(&actions).expect("a candidate is written");
    assert_eq!(
        (row.candidate.as_deref(), row.base),
        (Some("e2"), Some(at(1, 12)))
    );
}

#[test]
fn a_planned_handover_does_not_begin_while_every_replica_is_stale() {
    let mut harness = Harness::open();
    harness.servers[0].3 = 99;
    harness.run(ms(1_000));
    harness.view.request_handover(harness.now, "leaving", "e0");
    let actions = harness.run(ms(500));
    assert!(commit_of_all(&actions).is_none());
    assert!(recorded(
        &actions,
        "no-promotion",
        Some("no-replica-close-enough")
    ));
    harness.servers[1].3 = 99;
    assert!(commit_of_all(&harness.run(ms(20))).is_some());
}

#[test]
fn the_first_row_is_proposed_once_every_server_answers() {
    let mut harness = Harness::open_empty();
    harness.servers = HEALTHY[..2].into();
    let created = |harness: &mut Harness| {
        harness.feed();
        harness.view.on_no_row(harness.now);
        let actions = harness.view.tick(harness.now);
        actions.into_iter().find_map(|action| match action {
            Action::Create { row } => Some(row),
            _ => None,
        })
    };
    assert_eq!(created(&mut harness), None);
    harness.servers = HEALTHY.into();
    let row = created(&mut harness).expect("the first row is proposed");
    assert_eq!(row, Row::first(1, Arc::from("e0")));
    assert_eq!(Row::parse("orders", &row.to_json()).ok(), Some(row));
    assert!(Row::parse("orders", "{}").is_err());
}

/// Evacuates endpoints from `deadline` on.
fn evacuate(harness: &mut Harness, endpoints: &[&str], deadline: clock::Time) {
    let evacuated = endpoints.iter().map(|name| (Arc::from(*name), deadline));
    harness.view.set_evacuated(evacuated.collect());
}

/// Guards against a primary role that moves from one evacuated zone to another.
#[test]
fn a_server_of_an_evacuated_zone_is_not_promoted() {
    let mut harness = Harness::open();
    let deadline = harness.now;
    evacuate(&mut harness, &["e1"], deadline);
    harness.order();
    harness.run(ms(600));
    harness.servers = vec![("e1", Role::Replica, 1, 10), ("e2", Role::Replica, 1, 10)];
    let actions = harness.run(ms(100));
    let row = harness.commit(&actions).expect("a candidate is written");
    assert_eq!(row.candidate.as_deref(), Some("e2"));
}

/// Guards against an acknowledged write that is lost since the only server that holds it is in an
/// evacuated zone.
#[test]
fn a_promotion_waits_while_only_an_evacuated_server_holds_the_highest_position() {
    let mut harness = Harness::open();
    let deadline = harness.now;
    evacuate(&mut harness, &["e1"], deadline);
    harness.order();
    harness.run(ms(600));
    harness.servers = vec![("e1", Role::Replica, 1, 12), ("e2", Role::Replica, 1, 10)];
    assert!(commit_of_all(&harness.run(ms(700))).is_none());
    harness.servers[1] = ("e2", Role::Replica, 1, 12);
    let actions = harness.run(ms(50));
    let row = harness.commit(&actions).expect("a candidate is written");
    assert_eq!(row.candidate.as_deref(), Some("e2"));
}

/// Guards against statements that reach an evacuated zone since no other server can take over, and
/// against a primary that stays unused after the evacuation was taken back.
#[test]
fn an_evacuated_primary_gets_statements_until_its_deadline_only() {
    let mut harness = Harness::open();
    let deadline = harness.now + ms(200);
    evacuate(&mut harness, &["e0", "e1", "e2"], deadline);
    harness.run(ms(100));
    assert!(harness.view.may_send_write(harness.now).is_ok());
    assert!(harness.view.primary_source(harness.now).is_some());
    assert!(harness.view.replicas(harness.now).is_empty());
    harness.run(ms(150));
    assert!(harness.view.may_send_write(harness.now).is_err());
    assert!(harness.view.primary_source(harness.now).is_none());
    evacuate(&mut harness, &[], deadline);
    harness.run(ms(20));
    assert!(harness.view.may_send_write(harness.now).is_ok());
    assert_eq!(harness.view.replicas(harness.now).len(), 2);
}
