//! Confirmations of the settings by way of other instances.

use std::net::SocketAddr;

use clock::Span;
use clock::Time;
use relay::peers::Confirmation;
use relay::peers::Confirmations;
use relay::peers::Payload;
use test_case::test_case;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(100_000 + millis)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Asks at `asked`, with the answer of a store whose call began `begun` after the question came.
fn confirmed(asked: u64, begun: i64) -> Confirmation {
    let mut asker = Confirmations::default();
    let mut asked_one = Confirmations::default();
    let id = asker.ask(at(asked));
    // The other instance's clock shows another time.
    let received = at(50_000);
    asked_one.on_question(received, address(1), id);
    let span = Span::from_millis(begun.unsigned_abs());
    let begun = if begun < 0 {
        received - span
    } else {
        received + span
    };
    let answers = asked_one.on_confirmed(begun, 7);
    let [
        (
            to,
            Payload::Confirmed {
                id,
                revision,
                since_ms,
            },
        ),
    ] = &answers[..]
    else {
        panic!("one answer: {answers:?}");
    };
    assert_eq!(*to, address(1));
    assert!(asker.on_answer(*id, *revision, *since_ms));
    asker.take_answer().expect("an answer")
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
    assert!(confirmation.at <= truth, "never newer than it was");
    assert!(truth.since(confirmation.at) <= Span::from_millis(1));
}

#[test]
fn an_answer_counts_once_and_only_for_the_last_question() {
    let mut asker = Confirmations::default();
    let first = asker.ask(at(0));
    let second = asker.ask(at(2_000));
    assert!(!asker.on_answer(first, 7, 0), "it was given up");
    assert!(asker.on_answer(second, 8, 0));
    assert!(!asker.on_answer(second, 9, 0), "it was answered");
    let answer = asker.take_answer().expect("an answer");
    assert_eq!(answer.revision, 8);
    assert_eq!(asker.take_answer(), None);
}

#[test]
fn a_question_is_answered_once_however_often_it_came() {
    let mut asked = Confirmations::default();
    asked.on_question(at(0), address(1), 1);
    asked.on_question(at(10), address(1), 2);
    asked.on_question(at(10), address(2), 5);
    assert_eq!(asked.on_confirmed(at(20), 7).len(), 2);
    assert!(asked.on_confirmed(at(30), 7).is_empty());
}
