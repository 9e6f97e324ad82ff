//! Requests that wait for tokens at one instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use account::rate::Action;
use account::rate::Ask;
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

/// Opens an instance without slices that has one peer.
fn open() -> Limiter {
    let mut ledger = Limiter::open("one", 1, ([127, 0, 0, 1], 7_000).into(), Policy::default());
    ledger.on_settings(at(0), 1, &BTreeMap::from([(Arc::from("club"), LIMIT)]));
    ledger.on_peers(vec![Arc::from("two")]);
    ledger
}

fn ask(actions: Vec<Action>) -> Ask {
    let ask = actions.into_iter().find_map(|action| match action {
        Action::Send(send) => match send.message {
            Message::Ask(ask) => Some(ask),
            _ => None,
        },
        _ => None,
    });
    ask.expect("asks the peer")
}

fn loan(ask: &Ask) -> Message {
    Message::Loan(Loan {
        ask: ask.id,
        life: ask.life,
        account: Arc::clone(&ask.account),
        limit: ask.limit,
        amount: ask.amount,
        spare: ask.amount,
    })
}

fn waits(decision: Decision) -> bool {
    matches!(decision, Decision::Wait { .. })
}

#[test]
fn a_request_waits_for_a_loan_and_runs() {
    let mut ledger = open();
    assert!(waits(ledger.admit(at(1), "club", 1, None)));
    assert!(ledger.is_urgent());
    let ask = ask(ledger.tick(at(1)));
    assert!(ask.urgent);
    ledger.on_message(at(3), "two", loan(&ask));
    assert_eq!(ledger.admit(at(3), "club", 1, Some(at(1))), Decision::Run);
    assert!(!matches!(
        ledger.admit(at(3), "club", 5, None),
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
        let mut ledger = open();
        assert!(waits(ledger.admit(at(1), "club", 1, None)));
        let ask = ask(ledger.tick(at(1)));
        let tokens = ask.amount.raw() / account::rate::Amount::from_tokens(1).raw();
        assert_eq!(tokens, 1);
        (0..repeats).for_each(|_| {
            ledger.on_message(at(when), from, loan(&ask));
        });
        let run = |n: u64| ledger.admit(at(when), "club", 1, Some(at(n))) == Decision::Run;
        let count = (0..4).map(|_| 0).map(run).filter(|run| *run).count();
        assert_eq!(count, granted, "when={when} from={from} repeats={repeats}");
    }
}

#[test]
fn a_newer_request_does_not_overtake() {
    let mut ledger = open();
    assert!(waits(ledger.admit(at(1), "club", 1, None)));
    let ask = ask(ledger.tick(at(1)));
    ledger.on_message(at(3), "two", loan(&ask));
    assert_ne!(ledger.admit(at(3), "club", 1, None), Decision::Run);
    assert_eq!(ledger.admit(at(4), "club", 1, Some(at(1))), Decision::Run);
}

#[test]
fn a_request_that_left_is_not_waited_for() {
    let mut ledger = open();
    assert!(waits(ledger.admit(at(1), "club", 1, None)));
    let ask = ask(ledger.tick(at(1)));
    ledger.on_message(at(3), "two", loan(&ask));
    ledger.cancel("club", 1);
    assert_eq!(ledger.admit(at(3), "club", 1, None), Decision::Run);
}

#[test]
fn a_wait_ends_and_the_refusal_tells_when_to_come_back() {
    let mut ledger = open();
    assert!(waits(ledger.admit(at(1), "club", 1, None)));
    let Decision::Refuse { retry_after } = ledger.admit(at(21), "club", 1, Some(at(1))) else {
        panic!("20 ms are over");
    };
    assert_eq!(retry_after, Span::from_millis(10));
    let unknown = ledger.admit(at(21), "nobody", 1, None);
    assert!(matches!(unknown, Decision::Refuse { .. }));
}
