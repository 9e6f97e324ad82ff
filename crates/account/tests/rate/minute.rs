//! Refusals of requests within the rate in the minute after a failure, with the default policy.

use account::rate::Limit;
use account::rate::Policy;
use clock::Span;
use test_case::test_case;

use crate::fleet::Options;
use crate::fleet::World;

const FLEET: usize = 8;
const ZONE: usize = 3;
const LIMIT: Limit = Limit {
    rate: 400,
    burst: 100,
};

/// Returns the number of refused requests and of all requests in the minute after `fault`.
fn minute(per_second: u64, fault: fn(&mut World), from: usize) -> (u64, u64) {
    let mut options = Options::quick(1, FLEET);
    options.policy = Policy::default();
    options.limit = LIMIT;
    let mut world = World::open(options);
    world.run(Span::from_secs(5), 0, |_| 0);
    world.run(Span::from_secs(2), per_second, |rng| {
        rand::Rng::random_range(rng, 0..FLEET)
    });
    fault(&mut world);
    let (granted, refused) = (world.granted, world.refused);
    world.run(Span::from_secs(60), per_second, |rng| {
        rand::Rng::random_range(rng, from..FLEET)
    });
    assert_eq!(world.bound.violation, None);
    let refused = world.refused - refused;
    (refused, world.granted - granted + refused)
}

fn calm(_: &mut World) {}

fn killed(world: &mut World) {
    world.kill(0);
}

fn table_down(world: &mut World) {
    world.without_table = (0..FLEET).collect();
}

fn zone_cut(world: &mut World) {
    world.without_table = (0..ZONE).collect();
    world.partitioned = (0..ZONE).collect();
}

// Requests go to the instances that are not affected. At most 0.1 % may be refused without a fault,
// and 1 % after one.
#[test_case(calm, 0, 380, 1; "calm")]
#[test_case(killed, 1, 360, 10; "instance killed")]
#[test_case(table_down, 0, 380, 10; "table down")]
#[test_case(zone_cut, ZONE, 300, 10; "zone cut")]
fn few_are_refused(fault: fn(&mut World), from: usize, per_second: u64, of_1000: u64) {
    let (refused, all) = minute(per_second, fault, from);
    println!("refused={refused} of={all} at={per_second}/s");
    assert!(
        refused * 1_000 <= all * of_1000,
        "refused={refused} of={all}"
    );
}

/// Size of a large fleet, with more instances than most of the accounts below have burst tokens.
const LARGE_FLEET: usize = 78;

// Requests of a small account arrive at random instances, at 60 % of its rate.
#[test_case(Limit { rate: 8, burst: 8 }; "8 a second")]
#[test_case(Limit { rate: 20, burst: 20 }; "20 a second")]
#[test_case(Limit { rate: 47, burst: 47 }; "47 a second")]
#[test_case(Limit { rate: 100, burst: 100 }; "100 a second")]
fn a_small_account_is_served_by_a_large_fleet(limit: Limit) {
    let mut options = Options::quick(1, LARGE_FLEET);
    options.policy = Policy {
        max_borrows: 3,
        max_wait: Span::from_millis(40),
        demand_window: Span::from_millis(50),
        empty_backoff: Span::from_millis(200),
        empty_doublings: 3,
        loan: Span::from_millis(150),
        activation_delay: Span::from_millis(200),
        ..Policy::default()
    };
    options.limit = limit;
    let mut world = World::open(options);
    world.run(Span::from_secs(30), 0, |_| 0);
    let (granted, refused) = (world.granted, world.refused);
    world.run(Span::from_secs(60), limit.rate * 6 / 10, |rng| {
        rand::Rng::random_range(rng, 0..LARGE_FLEET)
    });
    assert_eq!(world.bound.violation, None);
    let (granted, refused) = (world.granted - granted, world.refused - refused);
    println!("refused={refused} of={}", granted + refused);
    assert!(
        refused * 100 <= (granted + refused) * 2,
        "refused={refused} of={}",
        granted + refused
    );
}
