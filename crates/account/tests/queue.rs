//! The fair queue: shares under overload, priority classes, shedding, deadlines and the concurrency
//! limit.

use std::collections::BTreeMap;
use std::sync::Arc;

use account::queue::Class;
use account::queue::Limiter;
use account::queue::Policy;
use account::queue::Reason;
use account::queue::Scheduler;
use account::queue::Ticket;
use clock::Span;
use clock::Time;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use test_case::test_case;

const STEP: Span = Span::from_micros(500);
const SERVICE_STEPS: u64 = 12;

fn at(micros: u64) -> Time {
    Time::from_micros(micros)
}

fn ticket(id: u64, account: &str, class: Class, deadline: Time) -> Ticket {
    Ticket {
        id,
        account: Arc::from(account),
        class,
        deadline,
    }
}

/// Results of an account in a run.
#[derive(Debug, Default)]
struct Served {
    done: u64,
    shed: u64,
    waits: Vec<u64>,
}

impl Served {
    fn p99(&mut self) -> u64 {
        self.waits.sort_unstable();
        self.waits[self.waits.len() * 99 / 100]
    }
}

/// Simulates 20 s of a server with 5 slots and a mean service time of 6 ms: about 830 requests per
/// second.
///
/// `rates` lists `(account, requests per second)`.
fn run(rates: &[(&str, f64)], weights: &[(&str, u32)]) -> BTreeMap<String, Served> {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut queue = Scheduler::open(Policy::default());
    let weights = weights
        .iter()
        .map(|(name, weight)| (Arc::from(*name), *weight));
    queue.set_weights(weights.collect());
    let mut served: BTreeMap<String, Served> = BTreeMap::new();
    let mut sent: BTreeMap<u64, Time> = BTreeMap::new();
    let mut busy: Vec<(Time, Time, Arc<str>)> = Vec::new();
    let mut now = Time::ZERO;
    let mut id = 0;
    while now < at(20_000_000) {
        now = now + STEP;
        let (done, rest) = busy.into_iter().partition(|slot| slot.0 <= now);
        busy = rest;
        for (_, began, account) in done {
            queue.release(&account, now.since(began));
        }
        for (name, rate) in rates {
            if !rng.random_bool(rate * 0.0005) {
                continue;
            }
            id += 1;
            sent.insert(id, now);
            let deadline = now + Span::from_millis(500);
            for shed in queue.push(now, ticket(id, name, Class::Lookup, deadline)) {
                served
                    .entry(shed.ticket.account.to_string())
                    .or_default()
                    .shed += 1;
            }
        }
        while let Some(ticket) = queue.pop(now) {
            let entry = served.entry(ticket.account.to_string()).or_default();
            entry.done += 1;
            entry.waits.push(now.since(sent[&ticket.id]).as_micros());
            let steps = rng.random_range(SERVICE_STEPS / 2..=SERVICE_STEPS * 3 / 2);
            let end = now + Span::from_micros(steps * STEP.as_micros());
            busy.push((end, now, ticket.account));
        }
    }
    served
}

const NORMAL_RATES: [(&str, f64); 4] = [("a", 150.0), ("b", 150.0), ("c", 100.0), ("flood", 200.0)];
const FLOOD_RATES: [(&str, f64); 4] =
    [("a", 150.0), ("b", 150.0), ("c", 100.0), ("flood", 1_000.0)];

/// Returns the lowest throughput and the highest p99 latency of the other accounts during the
/// flood, in percent of the values without it.
fn worst(weights: &[(&str, u32)]) -> (u64, u64) {
    let mut before = run(&NORMAL_RATES, weights);
    let mut after = run(&FLOOD_RATES, weights);
    let mut worst = (u64::MAX, 0);
    for name in ["a", "b", "c"] {
        let normal = before.get_mut(name).expect("served");
        let flooded = after.get_mut(name).expect("served");
        // Latency is the wait plus the mean service time.
        let service = SERVICE_STEPS * STEP.as_micros();
        let (normal_p99, flooded_p99) = (normal.p99() + service, flooded.p99() + service);
        worst.0 = worst.0.min(flooded.done * 100 / normal.done);
        worst.1 = worst.1.max(flooded_p99 * 100 / normal_p99);
    }
    worst
}

#[test]
fn a_flood_by_one_account_is_not_felt_by_the_others() {
    let (throughput, p99) = worst(&[]);
    assert!(
        throughput >= 95 && p99 <= 150,
        "throughput={throughput}% p99={p99}%"
    );
}

#[test]
fn without_equal_shares_the_same_flood_is_felt() {
    let (throughput, p99) = worst(&[("flood", 1_000)]);
    assert!(
        throughput < 95 && p99 > 150,
        "throughput={throughput}% p99={p99}%"
    );
}

#[test_case(1, 1; "equal")]
#[test_case(3, 1; "three to one")]
fn shares_follow_the_weights(a: u32, b: u32) {
    let mut queue = Scheduler::open(Policy::default());
    queue.set_weights(BTreeMap::from([(Arc::from("a"), a), (Arc::from("b"), b)]));
    let mut got = BTreeMap::from([("a", 0_u32), ("b", 0)]);
    let mut now = at(0);
    for id in 0..4_000 {
        now = now + Span::from_millis(1);
        let account = if id % 2 == 0 { "a" } else { "b" };
        queue.push(now, ticket(id, account, Class::Lookup, Time::NEVER));
        if id % 4 == 0
            && let Some(ticket) = queue.pop(now)
        {
            *got.get_mut(&*ticket.account).expect("known") += 1;
            queue.release(&ticket.account, Span::from_millis(4));
        }
    }
    let want = 1_000 * a / (a + b);
    assert!(got["a"].abs_diff(want) <= 20, "{got:?}");
}

#[test]
fn slot_time_counts_and_not_the_number_of_requests() {
    let mut queue = Scheduler::open(Policy::default());
    let mut got = BTreeMap::from([("long", 0_u32), ("short", 0)]);
    for id in 0..400 {
        queue.push(at(0), ticket(id, "long", Class::Lookup, Time::NEVER));
        queue.push(at(0), ticket(id, "short", Class::Lookup, Time::NEVER));
        queue.push(at(0), ticket(id, "short", Class::Lookup, Time::NEVER));
        if let Some(ticket) = queue.pop(at(0)) {
            let long = &*ticket.account == "long";
            *got.get_mut(&*ticket.account).expect("known") += 1;
            queue.release(
                &ticket.account,
                Span::from_millis(if long { 30 } else { 3 }),
            );
        }
    }
    assert!(got["short"] >= got["long"] * 8, "{got:?}");
}

#[test]
fn writes_run_before_lookups_but_not_beyond_the_share() {
    let mut queue = Scheduler::open(Policy::default());
    for id in 0..50 {
        queue.push(at(0), ticket(id, "a", Class::Lookup, Time::NEVER));
        queue.push(at(0), ticket(100 + id, "b", Class::Write, Time::NEVER));
    }
    let mut order = Vec::new();
    while let Some(ticket) = queue.pop(at(0)) {
        order.push(ticket.account.to_string());
        queue.release(&ticket.account, Span::from_millis(2));
    }
    assert_eq!(order[0], "b", "the write arrived later but runs first");
    let lookups = order[..40].iter().filter(|name| *name == "a").count();
    assert!((15..=25).contains(&lookups), "lookups={lookups} of 40");
}

#[test_case(false; "the account over its share is shed")]
#[test_case(true; "the rule switched off sheds another one")]
fn a_full_queue_sheds_the_newest_of_the_account_most_over_its_share(shed_last: bool) {
    let policy = Policy {
        max_queued: 10,
        shed_last,
        ..Policy::default()
    };
    let mut queue = Scheduler::open(policy);
    for id in 0..10 {
        assert!(
            queue
                .push(at(0), ticket(id, "flood", Class::Lookup, Time::NEVER))
                .is_empty()
        );
    }
    let shed = queue.push(at(0), ticket(99, "calm", Class::Lookup, Time::NEVER));
    let ids: Vec<_> = shed
        .iter()
        .map(|shed| (shed.ticket.id, shed.reason))
        .collect();
    assert_eq!(ids, [(if shed_last { 99 } else { 9 }, Reason::Full)]);
    assert!(shed[0].retry_after > Span::ZERO || shed_last);
    assert_eq!(queue.queued(), 10);
}

#[test]
fn a_request_that_cannot_be_in_time_is_refused_at_once() {
    let mut queue = Scheduler::open(Policy::default());
    let soon = at(20_000);
    let late: Vec<_> = (0..200)
        .flat_map(|id| queue.push(at(0), ticket(id, "a", Class::Lookup, soon)))
        .collect();
    assert!(!late.is_empty());
    assert!(late.iter().all(|shed| shed.reason == Reason::Late));
    let other = queue.push(at(0), ticket(500, "b", Class::Lookup, soon));
    assert!(
        other.is_empty(),
        "the backlog of another account does not delay it"
    );
}

#[test]
fn a_late_request_never_gets_a_slot() {
    let mut queue = Scheduler::open(Policy::default());
    queue.push(at(0), ticket(1, "a", Class::Write, at(5_000)));
    assert_eq!(queue.pop(at(5_000)), None);
    let shed = queue.expire(at(5_000));
    assert_eq!(shed.len(), 1);
    assert_eq!((shed[0].ticket.id, shed[0].reason), (1, Reason::Expired));
    assert_eq!((queue.queued(), queue.running()), (0, 0));
}

#[test]
fn the_limit_follows_the_latency() {
    let policy = Policy {
        max_running: 32,
        ..Policy::default()
    };
    let mut limiter = Limiter::open(policy);
    let feed = |limiter: &mut Limiter, millis: u64, count: u32| {
        for _ in 0..count {
            limiter.on_saturated();
            limiter.on_latency(Span::from_millis(millis));
        }
    };
    feed(&mut limiter, 5, 100);
    assert_eq!(limiter.limit(), 32);
    feed(&mut limiter, 60, 200);
    assert!(limiter.limit() <= 4, "limit={}", limiter.limit());
    feed(&mut limiter, 5, 1_400);
    assert_eq!(limiter.limit(), 32);
}
