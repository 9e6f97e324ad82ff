//! Requests that wait for borrowed tokens at one instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use account::rate::Action;
use account::rate::Borrow;
use account::rate::Decision;
use account::rate::Limit;
use account::rate::Limiter;
use account::rate::Loan;
use account::rate::Message;
use account::rate::Policy;
use clock::Span;
use clock::Time;

const LIMIT: Limit = Limit {
    rate: 100,
    burst: 50,
};

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

/// Opens the limiter of an instance without slices that has one peer.
fn open() -> Limiter {
    let mut limiter = Limiter::open("one", 1, ([127, 0, 0, 1], 7_000).into(), Policy::default());
    limiter.on_settings(at(0), 1, &BTreeMap::from([(Arc::from("club"), LIMIT)]));
    limiter.on_peers(vec![Arc::from("two")]);
    limiter
}

fn find_borrow(actions: Vec<Action>) -> Borrow {
    let borrow = actions.into_iter().find_map(|action| match action {
        Action::Send(send) => match send.message {
            Message::Borrow(borrow) => Some(borrow),
            _ => None,
        },
        _ => None,
    });
    borrow.expect("borrows from the peer")
}

fn loan(borrow: &Borrow) -> Message {
    Message::Loan(Loan {
        borrow_id: borrow.id,
        life: borrow.life,
        account: Arc::clone(&borrow.account),
        limit: borrow.limit,
        amount: borrow.amount,
        spare: borrow.amount,
    })
}

fn waits(decision: Decision) -> bool {
    matches!(decision, Decision::Wait { .. })
}

#[test]
fn a_request_waits_for_a_loan_and_runs() {
    let mut limiter = open();
    assert!(waits(limiter.admit(at(1), "club", 1, None)));
    assert!(limiter.is_urgent());
    let borrow = find_borrow(limiter.tick(at(1)));
    assert!(borrow.is_urgent);
    limiter.on_message(at(3), "two", loan(&borrow));
    assert_eq!(limiter.admit(at(3), "club", 1, Some(at(1))), Decision::Run);
    assert!(!matches!(
        limiter.admit(at(3), "club", 5, None),
        Decision::Run
    ));
}

#[test]
fn a_loan_counts_once_and_only_in_time_and_from_the_peer_that_was_asked() {
    for (when, from, repeats, granted) in [
        (3, "two", 1, 1),
        (3, "two", 2, 1),
        (51, "two", 1, 0),
        (3, "three", 1, 0),
    ] {
        let mut limiter = open();
        assert!(waits(limiter.admit(at(1), "club", 1, None)));
        let borrow = find_borrow(limiter.tick(at(1)));
        let tokens = borrow.amount.raw() / account::rate::Amount::from_tokens(1).raw();
        assert_eq!(tokens, 1);
        (0..repeats).for_each(|_| {
            limiter.on_message(at(when), from, loan(&borrow));
        });
        let run = |n: u64| limiter.admit(at(when), "club", 1, Some(at(n))) == Decision::Run;
        let count = (0..4).map(|_| 0).map(run).filter(|run| *run).count();
        assert_eq!(count, granted, "when={when} from={from} repeats={repeats}");
    }
}

#[test]
fn a_newer_request_does_not_overtake() {
    let mut limiter = open();
    assert!(waits(limiter.admit(at(1), "club", 1, None)));
    let borrow = find_borrow(limiter.tick(at(1)));
    limiter.on_message(at(3), "two", loan(&borrow));
    assert_ne!(limiter.admit(at(3), "club", 1, None), Decision::Run);
    assert_eq!(limiter.admit(at(4), "club", 1, Some(at(1))), Decision::Run);
}

#[test]
fn a_request_that_left_is_not_waited_for() {
    let mut limiter = open();
    assert!(waits(limiter.admit(at(1), "club", 1, None)));
    let borrow = find_borrow(limiter.tick(at(1)));
    limiter.on_message(at(3), "two", loan(&borrow));
    limiter.cancel("club", 1);
    assert_eq!(limiter.admit(at(3), "club", 1, None), Decision::Run);
}

#[test]
fn a_wait_ends_and_the_refusal_tells_when_to_come_back() {
    let mut limiter = open();
    assert!(waits(limiter.admit(at(1), "club", 1, None)));
    let Decision::Refuse { retry_after } = limiter.admit(at(21), "club", 1, Some(at(1))) else {
        panic!("the maximum wait of 20 ms has passed");
    };
    assert_eq!(retry_after, Span::from_millis(10));
    let unknown = limiter.admit(at(21), "nobody", 1, None);
    assert!(matches!(unknown, Decision::Refuse { .. }));
}
