//! What an instance knows of a leader and its log.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;
use relay::group::Leadership;
use relay::group::Proof;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn position(term: u64, offset: u64) -> Position {
    Position { term, offset }
}

/// Returns a proof that a server gives at once, where replaced primaries refuse by themselves.
fn proof(sent: u64, position: Position) -> Proof {
    Proof {
        sent: at(sent),
        received: at(sent),
        position,
        reign: None,
    }
}

/// Returns a proof that a server gives at once, where only appointments tell who leads.
fn appointed(sent: u64, reign: u64, position: Position) -> Proof {
    Proof {
        reign: Some(reign),
        ..proof(sent, position)
    }
}

fn server(name: &str) -> Arc<str> {
    Arc::from(name)
}

#[test]
fn a_floor_covers_what_was_acknowledged_before_its_time() {
    let mut leadership = Leadership::default();
    for step in 0..10 {
        leadership.on_proof(&server("a"), proof(step * 100, position(1, step)));
    }
    assert_eq!(leadership.floor(at(450)), Some(position(1, 5)));
    assert_eq!(leadership.floor(at(500)), Some(position(1, 5)));
    assert_eq!(leadership.floor(at(0)), Some(position(1, 0)));
    assert_eq!(
        leadership.floor(at(901)),
        None,
        "no sample is recent enough"
    );
}

#[test]
fn a_new_leader_with_positions_in_the_old_term_resets_the_samples() {
    let mut leadership = Leadership::default();
    leadership.on_proof(&server("a"), proof(100, position(1, 58)));
    assert!(leadership.on_proof(&server("b"), proof(200, position(1, 57))));
    assert_eq!(
        leadership.floor(at(50)),
        Some(position(1, 57)),
        "record 58 was lost"
    );
    assert_eq!(
        leadership.covering_position(position(1, 40)),
        Some(position(1, 40))
    );
}

#[test]
fn a_late_reply_of_the_former_leader_is_ignored() {
    let mut leadership = Leadership::default();
    leadership.on_proof(&server("a"), proof(100, position(1, 5)));
    leadership.on_proof(&server("b"), proof(300, position(2, 6)));
    assert!(!leadership.on_proof(&server("a"), proof(200, position(1, 5))));
    let sent_before_b_replied = proof(400, position(1, 9));
    leadership.on_proof(
        &server("b"),
        Proof {
            received: at(450),
            ..proof(350, position(2, 7))
        },
    );
    assert!(!leadership.on_proof(&server("a"), sent_before_b_replied));
    let of_the_same_reign = appointed(500, 0, position(1, 9));
    assert!(!leadership.on_proof(&server("a"), of_the_same_reign));
    assert_eq!(leadership.server(), Some(&server("b")));
}

#[test]
fn a_commit_of_an_earlier_term_is_covered_by_the_first_position_of_the_next_leader() {
    let mut leadership = Leadership::default();
    leadership.on_proof(&server("a"), proof(100, position(1, 9)));
    leadership.on_proof(&server("b"), proof(300, position(2, 10)));
    leadership.on_proof(&server("b"), proof(400, position(2, 30)));
    assert_eq!(
        leadership.covering_position(position(1, 12)),
        Some(position(2, 10))
    );
    assert_eq!(
        leadership.covering_position(position(2, 20)),
        Some(position(2, 20))
    );
}

#[test]
fn a_server_found_not_to_lead_must_prove_its_leadership_again() {
    let mut leadership = Leadership::default();
    leadership.on_proof(&server("a"), proof(100, position(1, 9)));
    assert!(!leadership.on_not_leader("b"));
    assert!(leadership.on_not_leader("a"));
    assert_eq!(leadership.server(), None);
    assert_eq!(
        leadership.floor(at(50)),
        Some(position(1, 9)),
        "samples remain valid"
    );
    assert!(leadership.on_proof(&server("a"), proof(500, position(1, 9))));
}

/// Guards against an instance that knows no leader until its first commit, which needs a known leader:
/// the record of the newest term was lost with an earlier leader.
#[test]
fn a_leader_whose_log_ends_in_an_earlier_term_is_believed() {
    let mut leadership = Leadership::default();
    leadership.on_proof(&server("a"), proof(100, position(1, 58)));
    leadership.on_proof(&server("b"), proof(300, position(3, 60)));
    assert!(leadership.on_proof(&server("c"), proof(500, position(1, 59))));
    assert_eq!(leadership.server(), Some(&server("c")));
    assert_eq!(
        leadership.floor(at(50)),
        Some(position(1, 59)),
        "no replica of c has record 60 of term 3"
    );
    assert_eq!(
        leadership.term(),
        3,
        "commands to servers need a newer term"
    );
    assert!(leadership.on_proof(&server("c"), proof(600, position(4, 60))));
    assert_eq!(leadership.term(), 4);
}

/// Guards against a replaced primary that goes on and is believed again for its older log.
#[test]
fn only_a_later_appointment_brings_an_earlier_term_where_fences_are_not_checked() {
    let mut leadership = Leadership::default();
    leadership.on_proof(&server("a"), appointed(100, 0, position(1, 58)));
    leadership.on_proof(&server("b"), appointed(300, 5, position(3, 60)));
    assert!(!leadership.on_proof(&server("a"), appointed(500, 5, position(1, 70))));
    let late = Proof {
        sent: at(250),
        ..appointed(500, 6, position(1, 59))
    };
    assert!(!leadership.on_proof(&server("c"), late));
    assert_eq!(leadership.server(), Some(&server("b")));
    assert!(leadership.on_proof(&server("c"), appointed(500, 6, position(1, 59))));
    assert_eq!(leadership.server(), Some(&server("c")));
}

/// Guards against floors that no server reaches: the leader was replaced and promoted again, and its
/// last records were rolled back in between.
#[test]
fn a_leader_that_was_rolled_back_and_promoted_again_has_new_samples() {
    for reign in [None, Some(6)] {
        let mut leadership = Leadership::default();
        let before = Proof {
            reign: reign.map(|_| 5),
            ..proof(100, position(1, 60))
        };
        leadership.on_proof(&server("a"), before);
        let again = Proof {
            reign,
            ..proof(900, position(1, 57))
        };
        leadership.on_proof(&server("a"), again);
        assert_eq!(leadership.floor(at(50)), Some(position(1, 57)));
    }
}

/// Guards against the loss of samples by replies of one leader that overtake each other.
#[test]
fn replies_of_one_leader_out_of_order_keep_the_samples() {
    let mut leadership = Leadership::default();
    leadership.on_proof(&server("a"), appointed(100, 0, position(1, 50)));
    leadership.on_proof(&server("a"), appointed(200, 0, position(1, 60)));
    let overtaken = Proof {
        received: at(210),
        ..appointed(190, 7, position(1, 55))
    };
    leadership.on_proof(&server("a"), overtaken);
    assert_eq!(leadership.floor(at(50)), Some(position(1, 50)));
    assert_eq!(
        leadership.covering_position(position(1, 60)),
        Some(position(1, 60))
    );
}

/// Guards against a session whose reads no server can answer: the reply to its commit carried later
/// records of others, which were lost with their leader.
#[test]
fn a_token_of_a_lost_term_is_covered_by_the_first_position_of_the_next_leader() {
    let mut leadership = Leadership::default();
    leadership.on_proof(&server("b"), proof(300, position(3, 62)));
    leadership.on_proof(&server("c"), proof(500, position(1, 59)));
    leadership.on_proof(&server("c"), proof(600, position(1, 59)));
    assert_eq!(
        leadership.covering_position(position(3, 61)),
        Some(position(1, 59))
    );
    assert_eq!(
        leadership.covering_position(position(1, 59)),
        Some(position(1, 59))
    );
}

/// Guards against a read that lacks a commit of its session: a primary that is back under another id goes
/// on in its term, where an instance hasn't seen its newest commits.
#[test]
fn a_token_in_the_term_of_the_next_log_is_kept() {
    let mut leadership = Leadership::default();
    leadership.on_proof(&server("a"), proof(100, position(1, 60)));
    leadership.on_proof(&server("b"), proof(500, position(1, 60)));
    leadership.on_proof(&server("b"), proof(600, position(1, 64)));
    for token in [position(1, 60), position(1, 62), position(1, 66)] {
        assert_eq!(leadership.covering_position(token), Some(token));
    }
}

/// Guards against a read that lacks a commit of its session: in the leader's own term its position may
/// be newer than the samples of an instance that has just started.
#[test]
fn a_token_ahead_of_the_samples_is_kept_or_needs_the_leader() {
    let mut leadership = Leadership::default();
    leadership.on_proof(&server("c"), proof(500, position(4, 60)));
    assert_eq!(
        leadership.covering_position(position(4, 61)),
        Some(position(4, 61))
    );
    assert_eq!(
        leadership.covering_position(position(5, 61)),
        None,
        "the record is the leader's or lost"
    );
}
