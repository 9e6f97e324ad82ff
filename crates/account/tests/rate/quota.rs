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

#[test]
fn no_window_holds_more_than_the_limit_and_half_of_the_slack() {
    for slack in [0, 1, 9, 20, 33] {
        for rate in 1..300 {
            for burst in [1, 2, 7, 22, 100, 301] {
                let bucket = quota(slack).bucket_limit(Limit { rate, burst });
                let granted = bucket.rate * SECONDS + bucket.burst;
                let allowed = rate * SECONDS + burst + slack / 2;
                assert!(granted <= allowed, "rate {rate} burst {burst}: {bucket:?}");
                assert!(
                    granted + SECONDS > allowed,
                    "rate {rate} burst {burst}: {bucket:?}"
                );
            }
        }
    }
}

#[test_case(22, 22, 20 => (24, 22); "with slack")]
#[test_case(22, 22, 0 => (22, 22); "without slack")]
#[test_case(0, 0, 20 => (0, 0); "nothing is allowed")]
#[test_case(0, 5, 20 => (0, 5); "nothing is refilled")]
fn a_bucket_has_its_part_of_the_slack(rate: u64, burst: u64, slack: u64) -> (u64, u64) {
    let bucket = quota(slack).bucket_limit(Limit { rate, burst });
    (bucket.rate, bucket.burst)
}
