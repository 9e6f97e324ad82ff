//! Regression tests: one scenario for each known way to grant too much or too little.

use std::net::SocketAddr;
use std::sync::Arc;

use account::rate::Action;
use account::rate::Limit;
use account::rate::Limiter;
use account::rate::Member;
use account::rate::Policy;
use account::rate::Row;
use account::rate::SLICE_COUNT;
use account::rate::registered;
use clock::Span;
use clock::Time;
use store::Write;
use test_case::test_case;

use crate::fleet::Options;
use crate::fleet::World;

const FLEET: usize = 8;
const LIMIT: Limit = Limit {
    rate: 400,
    burst: 200,
};

/// Opens a fleet with an even share of slices and full buckets.
fn settled() -> World {
    let mut options = Options::quick(7, FLEET);
    options.limit = LIMIT;
    let mut world = World::open(options);
    world.run(Span::from_secs(3), 0, |_| 0);
    assert_eq!(world.slices(), vec![8; FLEET]);
    world
}

/// Sends far more requests than the burst allows, to `instances` in turn.
fn flood(world: &mut World, instances: std::ops::Range<usize>) {
    let mut next = instances.clone().cycle();
    world.run(Span::from_millis(80), 20_000, |_| next.next().unwrap_or(0));
}

/// Returns the numbers of requests granted and refused in a run.
fn count(world: &mut World, run: impl FnOnce(&mut World)) -> (u64, u64) {
    let (granted, refused) = (world.granted, world.refused);
    run(world);
    (world.granted - granted, world.refused - refused)
}

#[test_case(1; "one instance only")]
#[test_case(FLEET; "all in turn")]
fn within_the_rate_nothing_is_refused(spread: usize) {
    let mut world = settled();
    let mut turn = 0;
    let (granted, refused) = count(&mut world, |world| {
        world.run(Span::from_secs(5), 380, |_| {
            turn += 1;
            turn % spread
        });
    });
    assert_eq!(refused, 0);
    assert!(granted >= 1_895, "granted={granted}");
}

#[test]
fn a_whole_burst_can_be_used_at_one_instance() {
    let mut world = settled();
    let (granted, refused) = count(&mut world, |world| {
        (0..LIMIT.burst).for_each(|_| world.request(3));
        world.run(Span::from_millis(50), 0, |_| 0);
    });
    assert_eq!((granted, refused), (LIMIT.burst, 0));
}

#[test]
fn a_paused_holder_uses_nothing_that_was_taken_over() {
    let mut world = settled();
    world.pause(2, Span::from_secs(4));
    world.run(Span::from_secs(3), 0, |_| 0);
    let slices = world.slices();
    assert_eq!(slices[2], 2, "only the pinned slices remain: {slices:?}");
    assert_eq!(slices.iter().sum::<u32>(), SLICE_COUNT);
    world.run(Span::from_millis(1_001), 0, |_| 0);
    flood(&mut world, 0..FLEET);
    assert_eq!(world.bound.violation, None);
}

#[test]
fn the_slices_of_a_dead_holder_are_used_again() {
    let mut world = settled();
    world.kill(5);
    world.run(Span::from_secs(3), 0, |_| 0);
    // The two pinned slices stay with the dead holder until the long lease lapses.
    assert_eq!(world.slices().iter().sum::<u32>(), SLICE_COUNT - 2);
    world.run(Span::from_secs(16), 0, |_| 0);
    assert_eq!(world.slices().iter().sum::<u32>(), SLICE_COUNT);
}

/// Each instance gave up one of its eight slices when all restarted, since its earlier life still
/// counted as a member, and used none for as long as it takes loans to expire after the takeover.
#[test]
fn instances_that_restart_together_keep_their_slices() {
    let mut world = settled();
    (0..FLEET).for_each(|index| world.kill(index));
    (0..FLEET).for_each(|index| world.start(index));
    // Slices can be used 100 ms after the start.
    world.run(Span::from_millis(110), 0, |_| 0);
    assert_eq!(world.slices(), vec![8; FLEET]);
}

#[test]
fn a_new_instance_without_slices_borrows() {
    let mut world = settled();
    world.kill(5);
    world.start(5);
    assert_eq!(world.slices()[5], 0);
    let (granted, refused) = count(&mut world, |world| {
        world.run(Span::from_millis(100), 300, |_| 5);
    });
    assert!(
        granted >= 25 && refused <= 3,
        "granted={granted} refused={refused}"
    );
}

#[test]
fn leases_grow_with_the_fleet_up_to_four_times() {
    let policy = Policy {
        fleet_size: 32,
        ..Policy::default()
    };
    let second = Span::from_secs(1);
    assert_eq!(policy.scale_to_fleet(second, 8), second);
    assert_eq!(policy.scale_to_fleet(second, 48), Span::from_millis(1_500));
    assert_eq!(policy.scale_to_fleet(second, 3_000), Span::from_secs(4));
    assert_eq!(Policy::default().scale_to_fleet(second, 3_000), second);
}

#[test]
fn a_restart_brings_no_burst() {
    let mut world = settled();
    flood(&mut world, 0..FLEET);
    (0..FLEET).for_each(|index| world.kill(index));
    (0..FLEET).for_each(|index| world.start(index));
    world.run(Span::from_millis(300), 0, |_| 0);
    flood(&mut world, 0..FLEET);
    assert_eq!(world.bound.violation, None);
    assert_eq!(
        world.slices().iter().sum::<u32>(),
        SLICE_COUNT,
        "rows of earlier lives are taken over"
    );
}

#[test]
fn a_lower_limit_holds_once_it_is_in_force_everywhere() {
    let mut world = settled();
    world.set_limit(
        Limit {
            rate: 50,
            burst: 10,
        },
        Span::from_millis(100),
    );
    world.run(Span::from_millis(101), 2_000, |_| 4);
    let before = world.granted;
    flood(&mut world, 0..FLEET);
    assert!(world.granted - before <= 14);
    assert_eq!(world.bound.violation, None);
}

#[test]
fn with_the_table_down_for_all_every_share_stays_in_use() {
    let mut world = settled();
    world.without_table = (0..FLEET).collect();
    // Twelve times the short lease.
    let (_, refused) = count(&mut world, |world| {
        world.run(Span::from_secs(12), 380, |_| 6)
    });
    assert_eq!(refused, 0);
    world.without_table.clear();
    world.run(Span::from_secs(3), 0, |_| 0);
    assert_eq!(
        world.slices(),
        vec![8; FLEET],
        "nothing is taken over after the outage"
    );
}

#[test]
fn a_zone_that_is_cut_off_goes_on_with_its_pinned_slices() {
    let mut world = settled();
    world.partitioned = (0..3).collect();
    world.without_table = (0..3).collect();
    world.run(Span::from_secs(4), 0, |_| 0);
    let slices = world.slices();
    assert_eq!(slices[..3], [2, 2, 2]);
    assert_eq!(slices.iter().sum::<u32>(), SLICE_COUNT);
    let (_, refused) = count(&mut world, |world| world.run(Span::from_secs(4), 30, |_| 1));
    assert!(refused <= 1, "refused={refused}");
    flood(&mut world, 0..FLEET);
    assert_eq!(world.bound.violation, None);
}

#[test]
fn a_planned_stop_frees_its_slices_at_once() {
    let mut world = settled();
    world.leave(4);
    world.run(Span::from_millis(500), 0, |_| 0);
    assert_eq!(world.slices().iter().sum::<u32>(), SLICE_COUNT);
    assert_eq!(world.slices()[4], 0);
}

#[test]
fn a_flood_is_granted_its_rate_and_no_more() {
    let mut world = settled();
    let (granted, _) = count(&mut world, |world| {
        world.run(Span::from_secs(2), 2_000, |rng| {
            rand::Rng::random_range(rng, 0..FLEET)
        });
    });
    let max_granted = LIMIT.burst + LIMIT.rate * 2;
    assert!(
        granted <= max_granted && granted * 100 >= max_granted * 98,
        "granted={granted}"
    );
}

/// A table that returned from an older copy may show a slice in two rows.
#[test]
fn a_slice_in_two_rows_stops_no_instance_and_is_used_by_neither_holder_anew() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let row = |name: &str, port, pinned: u64| {
        let member = Member {
            name: Arc::from(name),
            life: 1,
        };
        let row = Row {
            member: member.clone(),
            address: address(port),
            serial: 1,
            lapsed: false,
            lease_ms: 3_000,
            pinned,
            mobile: 0,
            electors: vec![member.clone()],
            zone: None,
            version: 1,
        };
        store::Row {
            key: member.key(),
            value: Arc::from(serde_json::to_string(&row).expect("JSON")),
            version: u64::from(port),
        }
    };
    let mut limiter = Limiter::open("c", 1, address(3), Policy::default());
    let now = Time::ZERO + Span::from_secs(1);
    let actions = limiter.tick(now);
    let Some(Action::Read { id }) = actions.first() else {
        panic!("expected a read: {actions:?}");
    };
    let rows = vec![row("a", 1, 0b0110), row("b", 2, 0b1100)];
    let actions = limiter.on_read(now, *id, Ok(rows));
    let Some(Action::Commit { writes, .. }) = actions.first() else {
        panic!("expected a registration: {actions:?}");
    };
    let own = writes.iter().find_map(|write| match write {
        Write::Put { key, value } if key.contains("of/c") => {
            serde_json::from_str::<Row>(value).ok()
        }
        _ => None,
    });
    let own = own.expect("the own row");
    assert_ne!(own.slices(), 0, "free slices are acquired");
    assert_eq!(own.slices() & 0b1110, 0, "held ones are not");
}

/// A row of a version that doesn't know zones, or a row with a zone read by such a version, must not
/// stop an instance from reading the member list.
#[test]
fn rows_with_and_without_a_zone_are_read_by_old_and_new_versions() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let stored = |name: &str, extra: &str| {
        let value = format!(
            "{{\"member\":{{\"name\":\"{name}\",\"life\":1}},\"address\":\"127.0.0.1:1\",\"serial\":1,\
             \"lapsed\":false,\"lease_ms\":3000,\"pinned\":0,\"mobile\":0,\"electors\":[]{extra}}}"
        );
        store::Row {
            key: Arc::from(format!("share/of/{name}/1")),
            value: Arc::from(value),
            version: 1,
        }
    };
    let mut limiter = Limiter::open("c", 1, address(3), Policy::default());
    limiter.set_zone(&Arc::from("z1"));
    let now = Time::ZERO + Span::from_secs(1);
    let actions = limiter.tick(now);
    let Some(Action::Read { id }) = actions.first() else {
        panic!("expected a read: {actions:?}");
    };
    let rows = vec![
        stored("old", ""),
        stored("new", ",\"zone\":\"z1\",\"later\":7"),
    ];
    let actions = limiter.on_read(now, *id, Ok(rows));
    let members = limiter.members();
    assert_eq!(members["old"].zone, None);
    assert_eq!(members["new"].zone.as_deref(), Some("z1"));
    let Some(Action::Commit { writes, .. }) = actions.first() else {
        panic!("expected a registration: {actions:?}");
    };
    let names_zone = writes.iter().any(|write| {
        matches!(write, Write::Put { key, value }
            if key.contains("of/c") && value.contains("\"zone\":\"z1\""))
    });
    assert!(names_zone, "the own row names the zone: {writes:?}");
}

/// A dead instance held up each replacement of a primary for as long as its row stayed in the table,
/// 75 minutes.
#[test]
fn a_lapsed_row_registers_nobody() {
    let row = |name: &str, lapsed: bool| store::Row {
        key: Arc::from(format!("share/of/{name}/1")),
        value: Arc::from(format!(
            r#"{{"member":{{"name":"{name}","life":1}},"address":"127.0.0.1:1","serial":1,
                "lapsed":{lapsed},"lease_ms":9000,"pinned":1,"mobile":0,"electors":[]}}"#
        )),
        version: 1,
    };
    let registered = registered(&[row("live", false), row("dead", true)]);
    let names: Vec<&str> = registered.keys().map(|name| &**name).collect();
    assert_eq!(names, ["live"]);
}
