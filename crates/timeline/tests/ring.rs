//! Event retention, ordering and formatting.

use std::sync::Arc;

use clock::Manual;
use clock::Time;
use timeline::Kind;
use timeline::Ring;
use timeline::Timestamp;
use timeline::event;

fn ring(capacity: usize) -> Arc<Ring> {
    let clock = Arc::new(Manual::open(Time::from_micros(7_000)));
    Ring::open(Arc::from("i1"), clock, capacity)
}

#[test]
fn an_event_sorts_after_a_timestamp_received_before_it() {
    let ring = ring(4);
    let received = Timestamp {
        wall_ms: 9_000,
        count: 3,
    };
    ring.observe(received);
    ring.record(event(Kind::Group, "promoted"));
    assert!(ring.events_after(Timestamp::default())[0].stamp > received);
}

#[test]
fn the_ring_keeps_the_latest_events_in_order() {
    let ring = ring(2);
    for what in ["a", "b", "c"] {
        ring.record(event(Kind::Session, what));
    }
    let events = ring.events_after(Timestamp::default());
    let names: Vec<&str> = events.iter().map(|event| &*event.what).collect();
    assert_eq!(names, ["b", "c"]);
}

#[test]
fn a_line_quotes_values_with_spaces() {
    let line = event(Kind::Input, "refused")
        .with("peer", "127.0.0.1:1")
        .with("why", "too long")
        .to_string();
    assert!(line.ends_with("kind=input what=refused peer=127.0.0.1:1 why=\"too long\""));
}
