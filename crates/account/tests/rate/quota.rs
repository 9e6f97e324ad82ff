//! Adjustment of limits for usage measured over windows.

use account::rate::Limit;
use account::rate::Quota;
use clock::Span;
use test_case::test_case;

const SECONDS: u64 = 5;

fn quota(slack: u64) -> Quota {
    Quota {
        window: Span::from_secs(SECONDS),
        slack,
    }
}

/// Limits and slacks of all sizes.
fn cases() -> impl Iterator<Item = (u64, Limit)> {
    [0, 1, 9, 20, 33].into_iter().flat_map(|slack| {
        (1..300).flat_map(move |rate| {
            [1, 2, 7, 22, 100, 301]
                .into_iter()
                .map(move |burst| (slack, Limit { rate, burst }))
        })
    })
}

#[test]
fn no_window_holds_more_than_the_limit_and_half_of_the_slack() {
    for (slack, limit) in cases() {
        let bucket = quota(slack).raise_rate(limit);
        let granted = bucket.rate * SECONDS + bucket.burst;
        let allowed = limit.rate * SECONDS + limit.burst + slack / 2;
        assert!(granted <= allowed, "{limit:?}: {bucket:?}");
        assert!(granted + SECONDS > allowed, "{limit:?}: {bucket:?}");
    }
}

/// Guards against buckets that hold back what the limit and the slack allow, and against those that
/// give less than the rate or the burst.
#[test]
fn no_window_holds_more_than_the_limit_and_the_slack() {
    for (slack, limit) in cases() {
        let bucket = quota(slack).spread(limit);
        let granted = bucket.rate * SECONDS + bucket.burst;
        let allowed = limit.rate * SECONDS + limit.burst + slack;
        assert!(granted <= allowed, "{limit:?}: {bucket:?}");
        assert!(granted + SECONDS > allowed, "{limit:?}: {bucket:?}");
        assert!(bucket.rate >= limit.rate && bucket.burst >= limit.burst);
    }
}

#[test_case(22, 22, 20 => (24, 22); "with slack")]
#[test_case(22, 22, 0 => (22, 22); "without slack")]
#[test_case(0, 0, 20 => (0, 0); "nothing is allowed")]
#[test_case(0, 5, 20 => (0, 5); "nothing is refilled")]
fn a_bucket_has_half_of_the_slack(rate: u64, burst: u64, slack: u64) -> (u64, u64) {
    let bucket = quota(slack).raise_rate(Limit { rate, burst });
    (bucket.rate, bucket.burst)
}

#[test_case(6, 6, 20 => (7, 20); "a burst below the slack")]
#[test_case(32, 32, 20 => (36, 32); "a burst above the slack")]
#[test_case(22, 22, 0 => (22, 22); "without slack")]
#[test_case(0, 0, 20 => (0, 0); "nothing is allowed")]
#[test_case(0, 5, 20 => (0, 5); "nothing is refilled")]
fn a_bucket_has_all_of_the_slack(rate: u64, burst: u64, slack: u64) -> (u64, u64) {
    let bucket = quota(slack).spread(Limit { rate, burst });
    (bucket.rate, bucket.burst)
}
