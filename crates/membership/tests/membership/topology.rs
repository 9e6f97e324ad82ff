//! Tests that bound the work of one instance as the fleet grows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use membership::FAN_OUT;
use membership::Members;
use membership::POLLERS_PER_ZONE;
use membership::Upstream;
use store::Row;
use test_case::test_case;

use crate::sample::at;
use crate::sample::heartbeat;
use crate::sample::lease;
use crate::sample::members;
use crate::sample::row;

const ZONES: [&str; 3] = ["z1", "z2", "z3"];

fn rows(count: usize) -> Vec<Row> {
    let leases = (0..count).map(|number| lease(&format!("i{number}"), 1, ZONES[number % 3]));
    leases
        .enumerate()
        .map(|(number, lease)| row(&lease, number as u64))
        .collect()
}

fn view(number: usize, rows: &[Row]) -> Members {
    let mut members = members(&format!("i{number}"), ZONES[number % 3]);
    members.on_rows(at(0), rows);
    members
}

#[test_case(1)]
#[test_case(2)]
#[test_case(8)]
#[test_case(100)]
fn a_push_reaches_every_member_with_a_bounded_fan_out(count: usize) {
    let rows = rows(count);
    let mut reached: BTreeSet<Arc<str>> = BTreeSet::from([Arc::from("i0")]);
    let mut next: Vec<Arc<str>> = vec![Arc::from("i0")];
    while let Some(name) = next.pop() {
        let number = name[1..].parse().unwrap();
        let targets = view(number, &rows).push_targets(at(1), 5, "i0");
        assert!(targets.len() <= FAN_OUT + 2 * (ZONES.len() - 1));
        let new = targets
            .into_iter()
            .filter(|name| reached.insert(Arc::clone(name)));
        next.extend(new);
    }
    assert_eq!(reached.len(), count);
}

#[test]
fn fan_out_is_bounded_in_a_fleet_of_three_thousand() {
    let rows = rows(3_000);
    for number in [0, 1, 1_234, 2_999] {
        let members = view(number, &rows);
        assert!(members.push_targets(at(1), 5, "i7").len() <= FAN_OUT);
        assert!(members.watched(at(1)).len() <= 12);
    }
}

#[test_case(1)]
#[test_case(8)]
#[test_case(60)]
fn few_members_read_the_table_and_the_others_are_at_most_three_hops_away(count: usize) {
    let rows = rows(count);
    let none = BTreeSet::new();
    let sources: BTreeMap<Arc<str>, Upstream> = (0..count)
        .map(|number| {
            let source = view(number, &rows).head_upstream(at(1), &none);
            (Arc::from(format!("i{number}")), source)
        })
        .collect();
    let readers = sources
        .values()
        .filter(|source| **source == Upstream::Table);
    assert!(readers.count() <= POLLERS_PER_ZONE * ZONES.len());
    let mut asked: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    for name in sources.keys() {
        let mut hops = 0;
        let mut place = name;
        while let Upstream::Peer(parent) = &sources[place] {
            place = parent;
            hops += 1;
            assert!(hops <= 3, "{name} is too far from the table");
        }
        if let Upstream::Peer(parent) = &sources[name] {
            *asked.entry(parent).or_default() += 1;
        }
    }
    assert!(asked.values().all(|children| *children <= FAN_OUT));
}

#[test]
fn a_failed_upstream_is_excluded() {
    let rows = rows(60);
    let asker = (0..60)
        .map(|number| view(number, &rows))
        .find_map(
            |members| match members.head_upstream(at(1), &BTreeSet::new()) {
                Upstream::Table => None,
                Upstream::Peer(parent) => Some((members, parent)),
            },
        );
    let (members, parent) = asker.unwrap();
    let failed = BTreeSet::from([Arc::clone(&parent)]);
    assert_ne!(
        members.head_upstream(at(1), &failed),
        Upstream::Peer(parent)
    );
    let all = (0..60)
        .map(|number| Arc::from(format!("i{number}")))
        .collect();
    assert_eq!(members.head_upstream(at(1), &all), Upstream::Table);
}

#[test]
fn all_members_agree_on_the_pollers_of_each_zone() {
    let rows = rows(30);
    for zone in ZONES {
        let chosen: BTreeSet<Vec<Arc<str>>> = (0..30)
            .map(|number| view(number, &rows).pollers(at(1), zone, "group/orders"))
            .collect();
        assert_eq!(chosen.len(), 1, "all members agree");
        assert_eq!(chosen.first().unwrap().len(), POLLERS_PER_ZONE);
    }
    let polls = |number: &usize| view(*number, &rows).is_poller(at(1), "group/orders");
    assert_eq!(
        (0..30).filter(polls).count(),
        POLLERS_PER_ZONE * ZONES.len()
    );
}

#[test]
fn only_a_zone_without_heartbeats_is_silent() {
    let mut members = view(0, &rows(6));
    let heartbeat_from = |name: &str, zone: &str| {
        let mut beat = heartbeat(name, 1, 1);
        beat.zone = Arc::from(zone);
        beat
    };
    members.on_heartbeat(at(1_000), &heartbeat_from("i1", "z2"));
    let expected = BTreeSet::from([Arc::from("z3")]);
    assert_eq!(members.silent_zones(at(2_000)), expected);
}
