//! Tests of the division of a server's connections among instances.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use relay::node::Load;
use relay::node::Share;
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
    assert_eq!(shares.share(at(10), 50, &others, 32).connections(), 4);
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
        given.push(shares.share(at(10), *own, &others, 36).connections());
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
        given.push(shares.share(at(10), *own, &others, 80).milli);
    }
    assert!(given.iter().all(|share| *share >= 500), "{given:?}");
    assert!(given.iter().sum::<u64>() <= 80_000, "{given:?}");
}

/// Load pattern: 76 instances serve 50 statements a second at a server of 55 connections, each
/// statement for any of 80 accounts, so that nearly every one needs another connection.
#[test]
fn scarce_connections_are_kept_so_briefly_that_all_instances_stay_within_the_total() {
    const INSTANCES: usize = 76;
    const CONNECTIONS: usize = 55;
    const STATEMENT: Span = Span::from_millis(40);
    const STATEMENTS: u64 = 2_000;
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let others = names(INSTANCES - 1);
    // Half of the instances have three times the load of the others.
    let loads: Vec<u64> = (0..INSTANCES as u64)
        .map(|index| 1 + index % 2 * 2)
        .collect();
    let sum: u64 = loads.iter().sum();
    let mut kept = Vec::new();
    for load in &loads {
        let mut shares = Shares::default();
        shares.on_mean(at(0), sum / INSTANCES as u64);
        let share = shares.share(at(10), *load, &others, CONNECTIONS);
        let uses = 100 * load / sum;
        let kept_for = share.idle_timeout(uses, 80, Span::from_secs(2));
        kept.push(kept_for.expect("connections are scarce"));
    }
    // When each connection is opened and closed.
    let mut changes = Vec::new();
    let mut now = at(0);
    for _ in 0..STATEMENTS {
        now = now + Span::from_millis(random.random_range(0..=40));
        let mut pick = random.random_range(0..sum);
        let instance = loads.iter().position(|load| {
            let is_picked = pick < *load;
            pick = pick.saturating_sub(*load);
            is_picked
        });
        let kept_for = kept[instance.expect("the pick is below the sum")];
        changes.push((now, 1_i64));
        changes.push((now + STATEMENT + kept_for, -1));
    }
    changes.sort_unstable();
    let mut open = 0;
    let mut excess = 0;
    for (_, change) in changes {
        open += change;
        if change > 0 && open > 55 {
            excess += 1;
        }
    }
    assert!(
        excess * 100 < STATEMENTS,
        "{excess} connections over the limit"
    );
}

/// Load pattern: an instance that is responsible for few accounts gets all their statements.
/// Guards against connections that are closed between two statements of one account although the
/// share suffices, and against a mean number of open connections above the share.
#[test]
fn the_fewer_accounts_use_a_server_the_longer_their_connections_are_kept_within_the_share() {
    const WINDOW: Span = Span::from_secs(2);
    const USES: u64 = 100;
    let share = Share {
        milli: 3_000,
        even_milli: 700,
    };
    let kept = |accounts| {
        let kept = share.idle_timeout(USES, accounts, WINDOW);
        kept.expect("connections are scarce")
    };
    assert_eq!(kept(1), Span::from_secs(5), "the share suffices");
    assert!(kept(2).as_micros() > 3 * kept(80).as_micros() / 2);
    assert!(kept(4) > kept(80));
    let mut random = ChaCha8Rng::seed_from_u64(2);
    for accounts in [2, 4, 16, 80] {
        let kept = kept(accounts).as_micros();
        let mut open_until = vec![0; accounts];
        let (mut now, mut open_us) = (0, 0);
        for _ in 0..20_000 {
            // 100 uses in two seconds are 20 ms apart on average.
            now += random.random_range(0..=40_000);
            let account = random.random_range(0..accounts);
            let until = now + kept;
            open_us += until - open_until[account].max(now).min(until);
            open_until[account] = until;
        }
        let mean_milli = open_us * 1_000 / now;
        assert!(mean_milli <= 1_650, "{accounts} accounts: {mean_milli}");
    }
}

#[test]
fn enough_connections_are_kept_without_limit() {
    let mut shares = Shares::default();
    let share = shares.share(at(10), 50, &names(7), 32);
    assert_eq!(share.idle_timeout(100, 1, Span::from_secs(2)), None);
}

#[test]
fn instances_without_a_recent_report_count_as_average() {
    let mut shares = Shares::default();
    let others = names(3);
    shares.on_report(at(0), &others[0], 1_000);
    assert_eq!(shares.share(at(12_000), 50, &others, 32).connections(), 8);
    assert_eq!(shares.share(at(12_000), 0, &others, 32).connections(), 8);
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

/// With 2.6 connections for 8 accounts every second statement opened one, which holds a slot of the
/// server as long as a statement.
#[test]
fn connections_are_too_few_if_not_every_account_can_keep_one() {
    let share = Shares::default().share(at(0), 0, &names(7), 21);
    assert!(!share.is_scarce(), "{share:?}");
    assert!(share.is_below(3));
    assert!(!share.is_below(2));
}
