//! Tests of the decisions on waiting and admission, without a network.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use relay::metrics::Metrics;
use relay::schedule::Entry;
use relay::schedule::Forecast;
use relay::schedule::Order;
use relay::schedule::Overload;
use relay::schedule::Reason;
use relay::schedule::salt;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

/// Returns the state of a queue in front of four slots with 40 waiting requests.
fn overload(index: u64) -> Overload {
    Overload {
        waiting: 40,
        slots: 4,
        max_queue_age: Span::from_millis(50),
        time_left: Span::from_secs(3),
        salt: salt(&index.to_string()),
    }
}

/// Returns a forecast for statements that take 20 ms.
fn measured() -> Forecast {
    let mut forecast = Forecast::open();
    for _ in 0..200 {
        forecast.on_served(Span::from_millis(20));
    }
    forecast
}

/// Replays callers that are all refused in the same moment: they must not return together.
#[test]
fn callers_refused_together_return_at_the_rate_of_the_slots() {
    let mut forecast = measured();
    let times: Vec<Span> = (0..100)
        .map(|index| forecast.retry_after(at(1_000), &overload(index)))
        .collect();
    assert!(times.is_sorted(), "in the order of arrival: {times:?}");
    // 40 requests take 200 ms at four slots, of which the queue allows 50 ms.
    assert!(times[0] >= Span::from_millis(150), "{:?}", times[0]);
    for (index, first) in times.iter().enumerate() {
        let until = *first + Span::from_millis(100);
        let count = times[index..].iter().filter(|time| **time < until).count();
        assert!(count <= 21, "{count} return in 100 ms, four slots serve 20");
    }
}

/// Guards against return times that grow without limit in a long overload.
#[test]
fn in_a_long_overload_all_return_within_their_time_limit_and_spread() {
    let mut forecast = measured();
    let times: Vec<Span> = (0..5_000)
        .map(|index| forecast.retry_after(at(1_000), &overload(index)))
        .collect();
    let limit = Span::from_millis(3_005);
    assert!(times.iter().all(|time| *time <= limit));
    let late = &times[1_000..];
    let half = Span::from_millis(1_575);
    let early = late.iter().filter(|time| **time < half).count();
    assert!(
        (1_800..=2_200).contains(&early),
        "{early} of 4000 return in the first half"
    );
}

/// Guards against a fixed retry-after time that ignores how fast the server is.
#[test]
fn the_return_follows_the_measured_service_time() {
    let mut slow = measured();
    for _ in 0..200 {
        slow.on_served(Span::from_millis(60));
    }
    let fast = measured().retry_after(at(1_000), &overload(0));
    let slow = slow.retry_after(at(1_000), &overload(0));
    assert!(
        slow.as_micros() > 2 * fast.as_micros(),
        "slow={slow} fast={fast}"
    );
}

/// Guards against places promised long ago that delay requests after the overload has ended.
#[test]
fn after_the_overload_a_request_returns_as_soon_as_there_is_room() {
    let mut forecast = measured();
    for index in 0..100 {
        forecast.retry_after(at(1_000), &overload(index));
    }
    let empty = Overload {
        waiting: 1,
        ..overload(0)
    };
    let later = forecast.retry_after(at(5_000), &empty);
    assert!(later <= Span::from_millis(10), "{later}");
}

/// Requests that wait for one slot, without a network.
struct Replay {
    order: Order,
    /// The priority, account and arrival of each waiting request, by its number.
    waiting: BTreeMap<u64, (u32, Arc<str>, Time)>,
    next: u64,
}

impl Replay {
    fn open() -> Self {
        Self {
            order: Order::open(),
            waiting: BTreeMap::new(),
            next: 0,
        }
    }

    fn arrive(&mut self, now: Time, priority: u32, account: &str) {
        let request = (priority, Arc::from(account), now);
        self.waiting.insert(self.next, request);
        self.next += 1;
    }

    /// Serves the next request for `used` and returns it.
    fn serve(&mut self, now: Time, used: Span) -> (u64, u32, Arc<str>) {
        let entry =
            |(sequence, request): (&u64, &(u32, Arc<str>, Time))| (*sequence, request.clone());
        let mut waiting: Vec<_> = self.waiting.iter().map(entry).collect();
        waiting.sort_by_key(|(sequence, (priority, ..))| (*priority, *sequence));
        let entries: Vec<Entry<'_>> = waiting
            .iter()
            .map(|(sequence, (priority, account, since))| Entry {
                sequence: *sequence,
                priority: *priority,
                account,
                since: *since,
                max_wait: Span::from_millis(500),
            })
            .collect();
        let chosen = self.order.next(entries.iter().copied());
        let chosen = chosen.expect("a request waits");
        let served = entries.iter().find(|entry| entry.sequence == chosen);
        self.order.on_granted(now, served.expect("it waits"));
        let (priority, account, _) = self.waiting.remove(&chosen).expect("it waits");
        self.order.on_served(&account, used);
        (chosen, priority, account)
    }
}

/// Guards existing deployments: with one kind and one account, first come, first served.
#[test]
fn one_account_and_kind_is_served_in_the_order_of_arrival() {
    let mut replay = Replay::open();
    (0..50).for_each(|index| replay.arrive(at(index), 1, "a"));
    let served: Vec<u64> = (0..50)
        .map(|index| {
            let used = Span::from_millis(5 + index % 40);
            replay.serve(at(50 + index), used).0
        })
        .collect();
    assert!(served.is_sorted(), "{served:?}");
}

/// Replays a flood of one account: the others must not wait behind it.
#[test]
fn a_flood_of_one_account_does_not_delay_the_others() {
    let mut replay = Replay::open();
    (0..200).for_each(|_| replay.arrive(at(0), 1, "flood"));
    for round in 0..20 {
        let now = at(round * 100);
        for account in ["a", "b", "c"] {
            replay.arrive(now, 1, account);
        }
        let served: Vec<Arc<str>> = (0..5)
            .map(|_| replay.serve(now, Span::from_millis(20)).2)
            .collect();
        for account in ["a", "b", "c"] {
            assert!(served.iter().any(|name| **name == *account), "{served:?}");
        }
    }
}

/// Replays accounts with short and long statements: they get the same server time.
#[test]
fn accounts_share_server_time_rather_than_statements() {
    let mut replay = Replay::open();
    (0..400).for_each(|_| replay.arrive(at(0), 1, "short"));
    (0..400).for_each(|_| replay.arrive(at(0), 1, "long"));
    let mut used = BTreeMap::new();
    for _ in 0..300 {
        let (_, _, account) = replay.serve(at(1), Span::ZERO);
        let span = if &*account == "short" { 10 } else { 40 };
        for _ in 0..40 {
            replay.order.on_served(&account, Span::from_millis(span));
        }
        *used.entry(account).or_insert(0) += span;
    }
    let (short, long) = (used["short"], used["long"]);
    assert!(short * 10 >= long * 8 && long * 10 >= short * 8, "{used:?}");
}

/// Replays a burst of an urgent kind: the least urgent kind goes on, and the urgent one gets most.
#[test]
fn a_burst_of_an_urgent_kind_starves_no_other() {
    let mut replay = Replay::open();
    for _ in 0..400 {
        for priority in 0..3 {
            replay.arrive(at(0), priority, "a");
        }
    }
    let mut counts = [0; 3];
    for index in 0..210 {
        let (_, priority, _) = replay.serve(at(index), Span::from_millis(20));
        counts[usize::try_from(priority).expect("small")] += 1;
    }
    assert!(counts[0] >= 120, "{counts:?}");
    assert!(counts[0] > counts[1] && counts[1] > counts[2], "{counts:?}");
    assert!(counts[2] >= 8, "the least urgent kind starves: {counts:?}");
}

/// Guards against refusing quiet accounts because of the queue of one that floods, and against
/// admitting more requests of that one.
#[test]
fn the_work_ahead_is_that_of_the_own_share() {
    let mut order = Order::open();
    let (flood, quiet): (Arc<str>, Arc<str>) = (Arc::from("flood"), Arc::from("quiet"));
    for account in [&flood, &quiet] {
        (0..100).for_each(|_| order.on_served(account, Span::from_millis(10)));
    }
    let entry = |sequence, priority, account| Entry {
        sequence,
        priority,
        account,
        since: at(0),
        max_wait: Span::from_millis(100),
    };
    let waiting: Vec<Entry<'_>> = (0..100).map(|index| entry(index, 1, &flood)).collect();
    let ahead = |priority, account| {
        let new = entry(100, priority, account);
        order
            .work_ahead(at(0), waiting.iter().copied(), &new)
            .as_millis()
    };
    assert!((990..=1_010).contains(&ahead(1, &flood)));
    assert!(ahead(1, &quiet) <= 11, "{}", ahead(1, &quiet));
    assert!(ahead(0, &quiet) <= 11, "{}", ahead(0, &quiet));
    assert!(ahead(2, &flood) <= 50, "{}", ahead(2, &flood));
}

/// Guards against refusals that operators don't see.
#[test]
fn refusals_are_counted_by_reason() {
    let metrics = Metrics::open();
    metrics.refused(Reason::Rate);
    metrics.refused(Reason::Overload);
    metrics.refused(Reason::Overload);
    let text = metrics.text();
    for line in [
        "yuccamount_refused_total{reason=\"rate\"} 1",
        "yuccamount_refused_total{reason=\"overload\"} 2",
    ] {
        assert!(text.contains(line), "{text}");
    }
}
