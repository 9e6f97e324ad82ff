//! Tests of the rate limit on log lines about single requests.

use std::sync::Arc;

use clock::Manual;
use clock::Span;
use clock::Time;
use relay::node::Logger;

#[test]
fn a_burst_of_failures_logs_at_most_fifty_lines_a_second() {
    let clock = Arc::new(Manual::open(Time::ZERO + Span::from_secs(5)));
    let logger = Logger::open(clock.clone());
    for second in 0..3 {
        let written = (0..10_000).filter(|_| logger.admit()).count();
        assert_eq!(written, 50, "second {second}");
        clock.advance(Span::from_secs(1));
    }
}

#[test]
fn failures_below_the_limit_are_all_logged() {
    let clock = Arc::new(Manual::open(Time::ZERO + Span::from_secs(5)));
    let logger = Logger::open(clock.clone());
    for _ in 0..500 {
        assert!(logger.admit());
        clock.advance(Span::from_millis(100));
    }
}
