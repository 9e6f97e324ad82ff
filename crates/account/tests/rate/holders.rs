//! Which members of a large fleet hold slices, and how accounts with small limits fare there.

use account::rate::Limit;
use account::rate::Policy;
use account::rate::SLICE_COUNT;
use clock::Span;
use rand::Rng;

use crate::fleet::Options;
use crate::fleet::World;

const FLEET: usize = 71;

/// Opens a fleet in which few members hold slices, with the timing of `yuccamount-edge` for loans, and
/// waits until the slices are held.
fn open(limit: Limit) -> World {
    let mut options = Options::quick(1, FLEET);
    options.policy = Policy {
        fleet_size: 16,
        max_borrows: 3,
        max_wait: Span::from_millis(40),
        demand_window: Span::from_millis(50),
        empty_backoff: Span::from_millis(200),
        empty_doublings: 3,
        loan: Span::from_millis(150),
        activation_delay: Span::from_millis(200),
        ..options.policy
    };
    options.limit = limit;
    let mut world = World::open(options);
    world.run(Span::from_secs(10), 0, |_| 0);
    world
}

fn holders(world: &World) -> Vec<usize> {
    let slices = world.slices();
    assert_eq!(slices.iter().sum::<u32>(), SLICE_COUNT);
    (0..FLEET).filter(|index| slices[*index] > 0).collect()
}

/// Load pattern: an account sends up to ten requests at the same moment, each to a random instance, and
/// half of its rate in all. Guards against refusals below the limit because the tokens are spread over
/// instances that the requests don't meet.
#[test]
fn bursts_below_the_limit_are_served_wherever_they_arrive() {
    for rate in [6, 12, 30] {
        let mut world = open(Limit {
            rate,
            burst: 20.max(rate),
        });
        let mean = rate / 2;
        for _ in 0..40 {
            let count = world.rng.random_range(0..=2 * mean.min(5));
            for _ in 0..count {
                let to = world.rng.random_range(0..FLEET);
                world.request(to);
            }
            world.run(Span::from_millis(1_000 * mean.min(5) / mean), 0, |_| 0);
        }
        assert_eq!(world.bound.violation, None);
        let all = world.granted + world.refused;
        println!("rate={rate} refused={} of={all}", world.refused);
        assert!(world.refused * 1_000 <= all, "rate {rate}");
    }
}

/// Guards against slices that are spread over the whole fleet, or that move when holders restart.
#[test]
fn few_members_hold_slices_and_keep_them_over_a_restart() {
    let mut world = open(Limit { rate: 6, burst: 20 });
    let before = holders(&world);
    assert!(before.len() <= 10, "{before:?}");
    for index in 0..FLEET {
        world.kill(index);
        world.start(index);
    }
    world.run(Span::from_secs(10), 0, |_| 0);
    assert_eq!(holders(&world), before);
}

/// Guards against slices that stay with holders that are gone.
#[test]
fn other_members_replace_holders_that_are_gone() {
    let mut world = open(Limit { rate: 6, burst: 20 });
    let gone: Vec<usize> = holders(&world).into_iter().take(3).collect();
    for index in &gone {
        world.kill(*index);
    }
    world.run(Span::from_secs(30), 0, |_| 0);
    let slices = world.slices();
    assert!(slices.iter().sum::<u32>() >= SLICE_COUNT * 9 / 10);
    assert!(gone.iter().all(|index| slices[*index] == 0));
}
