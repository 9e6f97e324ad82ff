//! What an instance knows of a leader and its log.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;
use relay::group::Leadership;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn position(term: u64, offset: u64) -> Position {
    Position { term, offset }
}

fn server(name: &str) -> Arc<str> {
    Arc::from(name)
}

#[test]
fn a_floor_covers_what_was_acknowledged_before_its_time() {
    let mut leadership = Leadership::default();
    for step in 0..10 {
        leadership.on_proof(at(step * 100), &server("a"), position(1, step));
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
    leadership.on_proof(at(100), &server("a"), position(1, 58));
    assert!(leadership.on_proof(at(200), &server("b"), position(1, 57)));
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
    leadership.on_proof(at(100), &server("a"), position(1, 5));
    leadership.on_proof(at(300), &server("b"), position(2, 6));
    assert!(!leadership.on_proof(at(200), &server("a"), position(1, 5)));
    assert!(!leadership.on_proof(at(400), &server("a"), position(1, 9)));
    assert_eq!(leadership.server(), Some(&server("b")));
}

#[test]
fn a_commit_of_an_earlier_term_is_covered_by_the_first_position_of_the_next_leader() {
    let mut leadership = Leadership::default();
    leadership.on_proof(at(100), &server("a"), position(1, 9));
    leadership.on_proof(at(300), &server("b"), position(2, 10));
    leadership.on_proof(at(400), &server("b"), position(2, 30));
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
    leadership.on_proof(at(100), &server("a"), position(1, 9));
    assert!(!leadership.on_not_leader("b"));
    assert!(leadership.on_not_leader("a"));
    assert_eq!(leadership.server(), None);
    assert_eq!(
        leadership.floor(at(50)),
        Some(position(1, 9)),
        "samples remain valid"
    );
    assert!(leadership.on_proof(at(500), &server("a"), position(1, 9)));
}
