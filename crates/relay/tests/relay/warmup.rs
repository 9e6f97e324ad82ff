//! How many requests reach a server that is warming up.

use clock::Span;
use clock::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use relay::warmup::Allowance;
use relay::warmup::Pace;
use relay::warmup::Turn;
use relay::warmup::Warmup;
use test_case::test_case;

/// The instances of the third deployment.
const INSTANCES: u64 = 71;
/// When the simulation begins, in milliseconds of the wall clock.
const START_MS: u64 = 1_796_390_400_000;
/// The time of the simulation in milliseconds.
const TIME_MS: u64 = 40_000;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

/// Returns the times in milliseconds at which requests reach the server, if each instance has a
/// request in `demand_percent` of all milliseconds and its clock is off by up to `error_ms`.
fn simulate(rate_milli: u64, allowance: Allowance, demand_percent: u32, error_ms: u64) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let pace = Pace::open(rate_milli, allowance).expect("a limited rate");
    let errors: Vec<u64> = (0..INSTANCES)
        .map(|_| rng.random_range(0..=2 * error_ms))
        .collect();
    let mut warmups = vec![Warmup::default(); errors.len()];
    let mut sent = Vec::new();
    for millis in 0..TIME_MS {
        for (place, (warmup, error)) in warmups.iter_mut().zip(&errors).enumerate() {
            let turn = Turn {
                place: place as u64,
                instances: INSTANCES,
            };
            let has_request = rng.random_ratio(demand_percent, 100);
            let wall_ms = START_MS + millis + error;
            if has_request && warmup.on_send(wall_ms, pace, turn) {
                sent.push(millis);
            }
        }
    }
    sent
}

/// Returns the most requests in any second.
fn most_in_a_second(sent: &[u64]) -> usize {
    let in_second = |first: usize| {
        let end = sent[first] + 1_000;
        sent[first..].iter().take_while(|at| **at < end).count()
    };
    (0..sent.len()).map(in_second).max().unwrap_or_default()
}

/// The requests of all instances in any second stay within the bound of the operator, and the
/// server still gets its rate.
#[test_case(200; "one request in five seconds")]
#[test_case(1_000; "one request a second")]
#[test_case(20_000; "less than a request a second and instance")]
#[test_case(71_000; "a request a second and instance")]
#[test_case(400_000; "several requests a second and instance")]
fn all_instances_together_stay_within_the_allowance(rate_milli: u64) {
    for (demand_percent, error_ms) in [(100, 0), (100, 50), (5, 50), (1, 20)] {
        let sent = simulate(rate_milli, Allowance::default(), demand_percent, error_ms);
        let most = most_in_a_second(&sent) as u64;
        let bound = (rate_milli * 3 / 2 + 5_000) / 1_000;
        assert!(most <= bound, "{most} of {bound} at {demand_percent} %");
        if demand_percent == 100 {
            let wanted = rate_milli * TIME_MS / 1_000_000;
            let got = sent.len() as u64;
            assert!(got * 10 >= wanted * 9, "{got} of {wanted} requests");
        }
    }
}

/// Without room beyond the rate, the rate itself must leave it.
#[test]
fn an_allowance_without_excess_is_kept() {
    let allowance = Allowance {
        excess_percent: 100,
        slack: 0,
    };
    let sent = simulate(20_000, allowance, 100, 0);
    assert!(most_in_a_second(&sent) <= 20);
    assert!(sent.len() >= 600, "{}", sent.len());
}

#[test]
fn a_rate_of_zero_limits_nothing() {
    assert_eq!(Pace::open(0, Allowance::default()), None);
}

/// An instance that doesn't know the others yet would take all of the slots.
#[test]
fn without_known_members_nothing_is_sent() {
    let pace = Pace::open(20_000, Allowance::default()).expect("a limited rate");
    assert!(!Warmup::default().may_send(START_MS, pace, Turn::default()));
}

#[test]
fn a_server_is_cold_after_its_start_and_after_an_evacuation() {
    let mut warmup = Warmup::default();
    let duration = Span::from_secs(20);
    assert!(!warmup.is_cold(at(0), None, duration));
    warmup.on_cold(at(1_000), Span::from_secs(20));
    warmup.on_cold(at(2_000), Span::ZERO);
    assert!(warmup.is_cold(at(20_999), None, duration));
    assert!(!warmup.is_cold(at(21_000), None, duration));
    assert!(warmup.is_cold(at(69_999), Some(at(50_000)), duration));
    assert!(!warmup.is_cold(at(70_000), Some(at(50_000)), duration));
}
