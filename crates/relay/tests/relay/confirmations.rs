//! Confirmations of the settings that are obtained through other instances.

use std::net::SocketAddr;

use clock::Span;
use clock::Time;
use relay::peers::Confirmation;
use relay::peers::Confirmations;
use relay::peers::Payload;
use relay::peers::Topic;
use test_case::test_case;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(100_000 + millis)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Queries at `sent`; the responder's call to the store begins `begun` ms after the query arrives.
fn confirmed(sent: u64, begun: i64) -> Confirmation {
    let mut requester = Confirmations::default();
    let mut responder = Confirmations::default();
    let id = requester.query(at(sent));
    // The instances' clocks differ.
    let received = at(50_000);
    responder.on_query(received, address(1), id);
    let span = Span::from_millis(begun.unsigned_abs());
    let begun = if begun < 0 {
        received - span
    } else {
        received + span
    };
    let answers = responder.on_confirmed(Topic::Settings, begun, 7);
    let [
        (
            to,
            Payload::Confirmed {
                id,
                topic: Topic::Settings,
                revision,
                since_ms,
            },
        ),
    ] = &answers[..]
    else {
        panic!("expected one response: {answers:?}");
    };
    assert_eq!(*to, address(1));
    assert!(requester.on_response(*id, *revision, *since_ms));
    requester.take_confirmation().expect("a confirmation")
}

#[test_case(-1_200; "the call had begun before")]
#[test_case(0; "at the same time")]
#[test_case(900; "the call began later")]
fn a_confirmation_is_as_old_as_the_call_to_the_store(begun: i64) {
    let confirmation = confirmed(2_000, begun);
    assert_eq!(confirmation.revision, 7);
    let truth = if begun < 0 {
        at(2_000) - Span::from_millis(begun.unsigned_abs())
    } else {
        at(2_000) + Span::from_millis(begun.unsigned_abs())
    };
    assert!(
        confirmation.at <= truth,
        "the confirmation must not be newer than the call"
    );
    assert!(truth.since(confirmation.at) <= Span::from_millis(1));
}

#[test]
fn a_response_counts_once_and_only_for_the_last_query() {
    let mut requester = Confirmations::default();
    let first = requester.query(at(0));
    let second = requester.query(at(2_000));
    assert!(
        !requester.on_response(first, 7, 0),
        "the query was abandoned"
    );
    assert!(requester.on_response(second, 8, 0));
    assert!(
        !requester.on_response(second, 9, 0),
        "the query was already answered"
    );
    let answer = requester.take_confirmation().expect("an answer");
    assert_eq!(answer.revision, 8);
    assert_eq!(requester.take_confirmation(), None);
}

#[test]
fn a_repeated_query_is_answered_once() {
    let mut responder = Confirmations::default();
    responder.on_query(at(0), address(1), 1);
    responder.on_query(at(10), address(1), 2);
    responder.on_query(at(10), address(2), 5);
    assert_eq!(responder.on_confirmed(Topic::Settings, at(20), 7).len(), 2);
    assert!(
        responder
            .on_confirmed(Topic::Settings, at(30), 7)
            .is_empty()
    );
}

/// An instance that stops polling the store answers queries much later. The querying instance may
/// have restarted meanwhile, and would take the keys for confirmed at a time yet to come.
#[test]
fn the_answer_to_a_query_of_an_earlier_run_confirms_nothing() {
    let mut responder = Confirmations::default();
    let mut former = Confirmations::open(1_000);
    let id = former.query(at(0));
    responder.on_query(at(50_000), address(1), id);
    let answers = responder.on_confirmed(Topic::Settings, at(60_000), 7);
    let [(_, Payload::Confirmed { id, since_ms, .. })] = answers.as_slice() else {
        panic!("expected one response: {answers:?}");
    };
    let mut restarted = Confirmations::open(77_000_000);
    restarted.query(at(9_500));
    assert!(!restarted.on_response(*id, 7, *since_ms));
    assert_eq!(restarted.take_confirmation(), None);
}
