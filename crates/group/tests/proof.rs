//! Tests of when a write may be sent and when it may be acknowledged.

mod harness;

use std::sync::Arc;

use clock::Time;
use endpoint::Role;
use endpoint::Status;
use group::Ack;
use group::Member;
use group::Phase;
use group::Row;
use harness::HEALTHY;
use harness::Harness;
use harness::at;
use harness::ms;
use test_case::test_case;

#[test]
fn a_majority_and_a_fresh_row_prove_a_write_until_the_lease_ends() {
    let mut harness = Harness::open();
    harness.servers = vec![("e0", Role::Primary, 1, 11), ("e1", Role::Replica, 1, 11)];
    harness.feed();
    let until = harness.now + ms(600);
    assert_eq!(
        harness.view.proof(harness.now, at(1, 11)),
        Ack::Proven { until }
    );
    assert_eq!(harness.view.proof(harness.now, at(1, 12)), Ack::Wait);
    // An instance that was paused between the proof and the response gets no new proof.
    assert_eq!(harness.view.proof(until, at(1, 11)), Ack::Wait);
}

#[test]
fn an_isolated_old_primary_and_its_instances_prove_nothing() {
    let mut harness = Harness::open();
    harness.servers = vec![("e0", Role::Primary, 1, 11)];
    harness.table = None;
    harness.feed();
    assert_eq!(harness.view.proof(harness.now, at(1, 11)), Ack::Wait);
    harness.run(ms(700));
    assert_eq!(harness.view.proof(harness.now, at(1, 11)), Ack::Wait);
    assert!(harness.view.may_send_write(harness.now).is_err());
}

#[test_case(3, true; "all servers at the term")]
#[test_case(2, false; "one server missing")]
fn without_the_table_only_all_servers_prove_a_write(answering: usize, proven: bool) {
    let mut harness = Harness::open();
    harness.table = None;
    harness.servers = HEALTHY[..answering].into();
    harness.run(ms(5_000));
    for server in &mut harness.servers {
        server.3 = 11;
    }
    assert_eq!(harness.view.may_send_write(harness.now).is_ok(), proven);
    harness.feed();
    let ack = harness.view.proof(harness.now, at(1, 11));
    assert_eq!(matches!(ack, Ack::Proven { .. }), proven, "{ack:?}");
}

#[test]
fn an_ordered_promotion_ends_table_proofs_and_the_sending_of_writes() {
    let mut harness = Harness::open();
    harness.servers = HEALTHY[..2].into();
    harness.feed();
    assert_eq!(harness.view.may_send_write(harness.now), Ok(1));
    assert!(matches!(
        harness.view.proof(harness.now, at(1, 10)),
        Ack::Proven { .. }
    ));
    let ordered = Row {
        revision: 2,
        term: 2,
        phase: Phase::Ordered,
        ..Row::first(1, Arc::from("e0"))
    };
    harness.view.on_row(harness.now, harness.now, ordered, 2);
    harness.servers.push(("e2", Role::Replica, 1, 9));
    harness.table = None;
    harness.feed();
    assert_eq!(harness.view.proof(harness.now, at(1, 10)), Ack::Wait);
    assert!(harness.view.may_send_write(harness.now).is_err());
    // A read of the table that was in flight returns the earlier row and has no effect.
    let late = Row::first(1, Arc::from("e0"));
    harness.view.on_row(harness.now, harness.now, late, 1);
    assert_eq!(harness.view.proof(harness.now, at(1, 10)), Ack::Wait);
}

#[test]
fn a_row_announced_by_a_peer_gives_no_lease() {
    let mut harness = Harness::open();
    harness.servers = vec![("e1", Role::Primary, 2, 11), ("e2", Role::Replica, 2, 11)];
    let steady = Row {
        revision: 4,
        ..Row::first(2, Arc::from("e1"))
    };
    harness.view.on_announced(harness.now, steady.clone(), 4);
    harness.table = None;
    harness.feed();
    assert_eq!(harness.view.proof(harness.now, at(2, 11)), Ack::Wait);
    harness.view.on_row(harness.now, harness.now, steady, 4);
    assert!(matches!(
        harness.view.proof(harness.now, at(2, 11)),
        Ack::Proven { .. }
    ));
}

#[test]
fn an_instance_whose_row_is_not_in_the_table_has_no_table_proof() {
    let mut harness = Harness::open();
    harness.servers = HEALTHY[..2].into();
    harness.view.on_registered(harness.now + ms(1), Time::NEVER);
    harness.feed();
    assert!(matches!(
        harness.view.proof(harness.now, at(1, 10)),
        Ack::Proven { .. }
    ));
    harness.servers = vec![("e2", Role::Replica, 1, 9)];
    harness.feed();
    assert_eq!(harness.view.proof(harness.now, at(1, 10)), Ack::Wait);
    harness.run(ms(10));
    assert!(matches!(
        harness.view.proof(harness.now, at(1, 10)),
        Ack::Proven { .. }
    ));
    harness.view.on_registered(Time::ZERO, harness.now);
    assert_eq!(harness.view.proof(harness.now, at(1, 10)), Ack::Wait);
}

#[test_case(at(1, 10), true; "within the base")]
#[test_case(at(1, 11), false; "after the base")]
fn a_write_of_the_earlier_term_is_proven_up_to_the_base(
    position: endpoint::Position,
    is_proven: bool,
) {
    let mut harness = Harness::open();
    harness.servers = vec![
        ("e0", Role::Primary, 1, 12),
        ("e1", Role::Primary, 2, 11),
        ("e2", Role::Replica, 2, 11),
    ];
    let steady = Row {
        revision: 4,
        base: Some(at(1, 10)),
        ..Row::first(2, Arc::from("e1"))
    };
    harness.table = Some((steady, 4));
    harness.feed();
    assert_eq!(
        harness.view.primary(harness.now),
        Some((Arc::from("e1"), 2))
    );
    let ack = harness.view.proof(harness.now, position);
    assert_eq!(matches!(ack, Ack::Proven { .. }), is_proven, "{ack:?}");
    assert!(is_proven || ack == Ack::Replaced);
}

#[test]
fn a_base_applies_to_the_next_term_only() {
    // The candidate of term 3 may have dropped writes of term 1 while it followed term 2.
    let mut harness = Harness::open();
    harness.servers = vec![("e1", Role::Primary, 3, 12), ("e2", Role::Replica, 3, 12)];
    let steady = Row {
        revision: 6,
        base: Some(at(1, 10)),
        ..Row::first(3, Arc::from("e1"))
    };
    harness.table = Some((steady, 6));
    harness.feed();
    assert_eq!(harness.view.proof(harness.now, at(1, 10)), Ack::Replaced);
}

#[test]
fn freshness_counts_from_the_start_of_a_confirmed_query_of_the_primary() {
    let mut harness = Harness::open();
    let begun = harness.now;
    harness.servers = vec![("e0", Role::Primary, 1, 20), ("e1", Role::Replica, 1, 10)];
    harness.run(ms(50));
    let fresh = |harness: &Harness| harness.view.replicas(harness.now)[0].fresh_at;
    assert_eq!(fresh(&harness), Some(begun));
    // No query is confirmed without the table while a server may have been promoted.
    harness.table = None;
    harness.run(ms(700));
    let confirmed = harness.view.confirmed(harness.now);
    harness.servers[1].3 = 20;
    harness.run(ms(100));
    assert_eq!(harness.view.confirmed(harness.now), confirmed);
    assert_eq!(fresh(&harness), confirmed.map(|(started, _)| started));
}

#[test]
fn a_server_that_joins_the_group_is_required_at_once() {
    let mut harness = Harness::open();
    harness.table = None;
    harness.run(ms(5_000));
    assert!(harness.view.may_send_write(harness.now).is_ok());
    let members = ["e0", "e1", "e2", "e3"].map(|name| Member {
        endpoint: Arc::from(name),
        zone: Arc::from("z"),
    });
    harness.view.set_members(members.into());
    assert!(harness.view.may_send_write(harness.now).is_err());
    assert_eq!(harness.view.proof(harness.now, at(1, 10)), Ack::Wait);
    harness.servers.push(("e3", Role::Replica, 1, 10));
    harness.feed();
    assert!(matches!(
        harness.view.proof(harness.now, at(1, 10)),
        Ack::Proven { .. }
    ));
}

/// Guards against a bounded read from a replica that applied less after its restart than before.
#[test]
fn a_replica_that_restarted_behind_is_as_old_as_what_it_shows() {
    let mut harness = Harness::open();
    let begun = harness.now;
    harness.servers = vec![("e0", Role::Primary, 1, 20), ("e1", Role::Replica, 1, 20)];
    harness.run(ms(50));
    let fresh = |harness: &Harness| harness.view.replicas(harness.now)[0].fresh_at;
    assert!(fresh(&harness) > Some(begun));
    harness.servers.pop();
    let status = Status {
        role: Role::Replica,
        received: at(1, 20),
        applied: at(1, 10),
    };
    harness.now = harness.now + ms(10);
    harness
        .view
        .on_status(harness.now, harness.now, "e1", status);
    assert_eq!(fresh(&harness), Some(begun));
}

/// Guards against proofs from reads that show an order under a version given out before the table
/// returned to an older copy.
#[test]
fn another_row_of_a_known_version_does_not_extend_the_lease() {
    let mut harness = Harness::open();
    harness.servers = HEALTHY[..2].into();
    let ordered = Row {
        term: 2,
        phase: Phase::Ordered,
        ..Row::first(1, Arc::from("e0"))
    };
    harness.table = Some((ordered, 1));
    harness.run(ms(700));
    assert_eq!(harness.view.proof(harness.now, at(1, 10)), Ack::Wait);
}

/// Guards against the confirmation of an order that this instance's proofs outlive.
#[test]
fn an_order_of_a_lower_revision_than_known_is_not_confirmed() {
    let mut harness = Harness::open();
    let known = Row {
        revision: 20,
        ..Row::first(1, Arc::from("e0"))
    };
    harness.table = Some((known, 20));
    harness.servers = vec![("e0", Role::Primary, 1, 11), ("e1", Role::Replica, 1, 11)];
    harness.feed();
    let ordered = |revision| Row {
        revision,
        term: 2,
        phase: Phase::Ordered,
        ..Row::first(1, Arc::from("e0"))
    };
    let announce = |harness: &mut Harness, revision| {
        let row = ordered(revision);
        harness.view.on_announced(harness.now, row, revision)
    };
    assert!(!announce(&mut harness, 11));
    assert!(matches!(
        harness.view.proof(harness.now, at(1, 11)),
        Ack::Proven { .. }
    ));
    assert!(announce(&mut harness, 21));
    assert_eq!(harness.view.proof(harness.now, at(1, 11)), Ack::Wait);
}
