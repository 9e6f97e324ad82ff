//! Requests that wait for borrowed tokens at one instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use account::rate::Action;
use account::rate::Attempt;
use account::rate::Borrow;
use account::rate::Decision;
use account::rate::Limit;
use account::rate::Limiter;
use account::rate::Loan;
use account::rate::Message;
use account::rate::Policy;
use account::rate::ROW_PREFIX;
use clock::Span;
use clock::Time;
use futures::executor::block_on;
use store::Memory;
use store::Table;

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
    // Of the account's refill, which takes 10 ms, half reaches one of two instances. The parts of the
    // slices are rounded down, by a thousandth at most here.
    let micros = retry_after.as_micros();
    assert!((20_000..=20_020).contains(&micros), "{micros} us");
    let unknown = limiter.admit(at(21), "nobody", 1, None);
    assert!(matches!(unknown, Decision::Refuse { .. }));
}

/// Opens the limiter of the only instance, which holds all slices and has no tokens left at the
/// returned time.
fn open_alone() -> (Limiter, Time) {
    let mut limiter = Limiter::open("one", 1, ([127, 0, 0, 1], 7_000).into(), Policy::default());
    limiter.on_settings(at(0), 1, &BTreeMap::from([(Arc::from("club"), LIMIT)]));
    let table = Memory::open();
    for millis in (4..2_000).step_by(4) {
        let mut actions = limiter.tick(at(millis));
        while let Some(action) = actions.pop() {
            match action {
                Action::Read { id } => {
                    let rows = block_on(table.list(ROW_PREFIX));
                    actions.extend(limiter.on_read(at(millis), id, rows));
                }
                Action::Commit {
                    id,
                    conditions,
                    writes,
                } => {
                    let outcome = block_on(table.commit(conditions, writes));
                    limiter.on_commit(at(millis), id, outcome);
                }
                Action::Send(_) => {}
            }
        }
    }
    let now = at(2_000);
    while limiter.admit(now, "club", 1, None) == Decision::Run {}
    limiter.cancel("club", 1);
    (limiter, now)
}

/// Returns the first attempt of a request that arrives at `now` and may wait for `millis`.
fn attempt(now: Time, millis: u64, salt: u64) -> Attempt {
    Attempt {
        cost: 1,
        arrived: now,
        is_first: true,
        deadline: now + Span::from_millis(millis),
        salt,
    }
}

/// Guards against refusals that come only after a wait although no token can come in time.
#[test]
fn a_flood_beyond_the_refill_is_refused_at_once() {
    let (mut limiter, now) = open_alone();
    let decisions: Vec<Decision> = (0..50)
        .map(|_| limiter.admit_by(now, "club", &attempt(now, 100, 0)))
        .collect();
    let waiting = decisions
        .iter()
        .filter(|decision| waits(**decision))
        .count();
    assert!(
        (9..=10).contains(&waiting),
        "100 tokens a second bring 10 in 100 ms, {waiting} wait"
    );
    assert!(decisions.is_sorted_by_key(|decision| !waits(*decision)));
}

/// Guards against waits for loans that never come: after one request waited in vain, only one at a
/// time waits while the peers lend nothing.
#[test]
fn while_peers_lend_nothing_one_request_waits_at_a_time() {
    let mut limiter = open();
    assert!(waits(limiter.admit(at(1), "club", 1, None)));
    let borrow = find_borrow(limiter.tick(at(1)));
    let nothing = Loan {
        borrow_id: borrow.id,
        life: borrow.life,
        account: Arc::clone(&borrow.account),
        limit: borrow.limit,
        amount: account::rate::Amount::ZERO,
        spare: account::rate::Amount::ZERO,
    };
    limiter.on_message(at(3), "two", Message::Loan(nothing));
    let ended = limiter.admit(at(21), "club", 1, Some(at(1)));
    assert!(matches!(ended, Decision::Refuse { .. }));
    limiter.tick(at(40));
    let decisions: Vec<Decision> = (0..20)
        .map(|_| limiter.admit(at(40), "club", 1, None))
        .collect();
    let waiting = decisions
        .iter()
        .filter(|decision| waits(**decision))
        .count();
    assert!(waiting <= 1, "{waiting} of 20 wait");
    limiter.tick(at(1_100));
    let later = limiter.admit(at(1_100), "club", 1, None);
    assert!(waits(later), "the peer may have tokens again");
}

/// Guards against refused callers that all return in the same moment.
#[test]
fn refused_requests_return_one_after_another_at_the_rate_of_the_refill() {
    let (mut limiter, now) = open_alone();
    let mut times = Vec::new();
    for salt in 0..50 {
        let salt = salt * 7_919;
        if let Decision::Refuse { retry_after } =
            limiter.admit_by(now, "club", &attempt(now, 0, salt))
        {
            times.push(retry_after);
        }
    }
    assert_eq!(times.len(), 50);
    assert!(times.is_sorted(), "in the order of arrival: {times:?}");
    // At 100 tokens a second, 50 requests take half a second.
    let last = times[49].as_millis();
    assert!((490..=520).contains(&last), "the last returns in {last} ms");
    for window in times.windows(11) {
        let span = window[10].as_micros() - window[0].as_micros();
        assert!(span >= 90_000, "11 requests return within {span} us");
    }
}

/// Guards against routes with short targets being starved by waits for routes with long ones.
#[test]
fn a_request_with_less_time_goes_before_one_that_can_wait() {
    let (mut limiter, now) = open_alone();
    for _ in 0..20 {
        assert!(waits(limiter.admit_by(now, "club", &attempt(now, 250, 0))));
    }
    let urgent = attempt(now, 37, 0);
    assert!(waits(limiter.admit_by(now, "club", &urgent)));
    let later = now + Span::from_millis(12);
    let again = Attempt {
        is_first: false,
        ..urgent
    };
    assert_eq!(limiter.admit_by(later, "club", &again), Decision::Run);
}
