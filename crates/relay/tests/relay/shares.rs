//! Tests of the division of a server's connections among instances.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use relay::node::Load;
use relay::node::Shares;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|index| Arc::from(format!("i{index}")))
        .collect()
}

#[test]
fn equally_loaded_instances_share_evenly() {
    let mut shares = Shares::default();
    let others = names(7);
    for other in &others {
        shares.on_report(at(0), other, 50);
    }
    assert_eq!(shares.share(at(10), 50, &others, 32), 4);
}

#[test]
fn shares_grow_with_load_and_stay_within_the_total() {
    let mut shares = Shares::default();
    let loads = [40, 10, 10, 10, 10, 10, 5, 5];
    let all = names(8);
    let mut given = Vec::new();
    for (index, own) in loads.iter().enumerate() {
        let mut others = all.clone();
        others.remove(index);
        for (other, load) in all.iter().zip(loads) {
            shares.on_report(at(0), other, load);
        }
        given.push(shares.share(at(10), *own, &others, 36));
    }
    assert!(given[0] >= 9, "{given:?}");
    assert!(given.iter().all(|share| *share >= 2), "{given:?}");
    assert!(given.iter().sum::<usize>() <= 36, "{given:?}");
}

#[test]
fn the_shares_of_a_large_fleet_stay_within_the_total() {
    let mut shares = Shares::default();
    let all = names(78);
    let loads: Vec<u64> = (0..78).map(|index| 5 + index % 40).collect();
    let mut given = Vec::new();
    for (index, own) in loads.iter().enumerate() {
        let mut others = all.clone();
        others.remove(index);
        for (other, load) in all.iter().zip(&loads) {
            shares.on_report(at(0), other, *load);
        }
        given.push(shares.share(at(10), *own, &others, 80));
    }
    assert!(given.iter().all(|share| *share >= 1), "{given:?}");
    assert!(given.iter().sum::<usize>() <= 80, "{given:?}");
}

#[test]
fn instances_without_a_recent_report_count_as_average() {
    let mut shares = Shares::default();
    let others = names(3);
    shares.on_report(at(0), &others[0], 1_000);
    assert_eq!(shares.share(at(12_000), 50, &others, 32), 8);
    assert_eq!(shares.share(at(12_000), 0, &others, 32), 8);
}

#[test]
fn the_load_follows_the_statements_of_each_second() {
    let mut load = Load::default();
    for second in 1..=20 {
        load.step(second * 100);
    }
    assert!((95..=100).contains(&load.per_second()), "{load:?}");
    for _ in 0..20 {
        load.step(2_000);
    }
    assert!(load.per_second() <= 2, "{load:?}");
}

#[test]
fn a_steady_load_is_reported_every_five_seconds_and_a_change_at_once() {
    let mut load = Load::default();
    let mut statements = 0;
    let mut step = |load: &mut Load, more: u64| {
        statements += more;
        load.step(statements);
        load.report()
    };
    for _ in 0..30 {
        step(&mut load, 100);
    }
    let reports = (0..20).filter_map(|_| step(&mut load, 101)).count();
    assert_eq!(reports, 4, "one in five seconds");
    let changed = (0..3).filter_map(|_| step(&mut load, 300)).count();
    assert!(changed >= 1, "a change is reported while it happens");
}
