//! The row of departed servers, and checks for unfinished failovers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Role;
use relay::failover::Departed;
use relay::failover::Departures;
use relay::failover::Recheck;
use relay::settings::Server;
use store::Row;
use store::Write;

fn departed(names: &[&str]) -> Departed {
    let entry = Server {
        group: Arc::from("g"),
        address: SocketAddr::from(([127, 0, 0, 1], 7)),
        zone: Arc::from("z"),
        slots: 5,
        is_draining: true,
        role: Role::Replica,
        warmup_left_ms: 0,
        born: 1,
    };
    names
        .iter()
        .map(|name| (Arc::from(*name), entry.clone()))
        .collect()
}

#[test]
fn an_instance_removes_only_the_servers_that_it_recorded() {
    let mut own = Departures::default();
    own.on_read(&departed(&[]));
    assert!(own.needs_update(&departed(&["c"])));
    let next = own.updated(&departed(&["of-another"]), &departed(&["c"]));
    assert_eq!(next, Some(departed(&["c", "of-another"])));
    own.on_recorded(&departed(&["c"]));
    assert!(!own.needs_update(&departed(&["c"])));
    let next = own.updated(&departed(&["c", "of-another"]), &departed(&[]));
    assert_eq!(next, Some(departed(&["of-another"])));
}

#[test]
fn a_row_that_is_up_to_date_is_not_written_again() {
    let mut own = Departures::default();
    own.on_read(&departed(&[]));
    assert_eq!(own.updated(&departed(&["c"]), &departed(&["c"])), None);
}

#[test]
fn an_instance_that_starts_later_takes_over_the_recorded_servers() {
    let mut own = Departures::default();
    assert!(!own.is_read());
    assert!(own.needs_update(&departed(&[])), "the row must be read");
    own.on_read(&departed(&["c"]));
    assert!(own.is_read());
    assert!(!own.needs_update(&departed(&["c"])));
    let next = own.updated(&departed(&["c"]), &departed(&[]));
    assert_eq!(
        next,
        Some(departed(&[])),
        "the server is removed from the row"
    );
}

#[test]
fn the_row_round_trips_the_entries() {
    let content = departed(&["c", "d"]);
    let (_, write) = Departures::compare_and_set("g", None, &content);
    let Write::Put { key, value } = write else {
        panic!("expected a put of the row");
    };
    let row = Row {
        key,
        value,
        version: 3,
    };
    assert_eq!(Departures::parse("g", Some(&row)), content);
}

#[test]
fn an_unreadable_row_counts_as_empty() {
    let row = Row {
        key: Departures::key("g"),
        value: Arc::from("[7"),
        version: 3,
    };
    assert_eq!(Departures::parse("g", Some(&row)), BTreeMap::new());
}

#[test]
fn a_replacement_is_checked_once() {
    let start = Time::ZERO + Span::from_secs(100);
    let mut recheck = Recheck::default();
    assert!(!recheck.step(start + Span::from_secs(60)));
    let begun = start + Span::from_secs(100);
    recheck.on_replacement(begun);
    assert!(!recheck.step(begun + Span::from_secs(3)));
    assert!(recheck.step(begun + Span::from_secs(4)));
    assert!(!recheck.step(begun + Span::from_secs(8)));
}
