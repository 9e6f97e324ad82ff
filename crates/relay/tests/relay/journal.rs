//! The bound on the log's lines about single requests.

use std::sync::Arc;

use clock::Manual;
use clock::Span;
use clock::Time;
use relay::node::Journal;

#[test]
fn a_flood_of_failures_writes_no_more_than_fifty_lines_a_second() {
    let clock = Arc::new(Manual::open(Time::ZERO + Span::from_secs(5)));
    let journal = Journal::open(clock.clone());
    for second in 0..3 {
        let written = (0..10_000).filter(|_| journal.admits()).count();
        assert_eq!(written, 50, "second {second}");
        clock.advance(Span::from_secs(1));
    }
}

#[test]
fn a_few_failures_are_all_written() {
    let clock = Arc::new(Manual::open(Time::ZERO + Span::from_secs(5)));
    let journal = Journal::open(clock.clone());
    for _ in 0..500 {
        assert!(journal.admits());
        clock.advance(Span::from_millis(100));
    }
}
