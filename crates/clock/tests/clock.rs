//! Tests of the manual clock and of time arithmetic.

use clock::Clock;
use clock::Manual;
use clock::Span;
use clock::Time;

#[test]
fn manual_clock_moves_only_when_advanced() {
    let clock = Manual::open(Time::from_micros(5));
    assert_eq!(clock.now(), Time::from_micros(5));
    clock.advance(Span::from_millis(2));
    assert_eq!(clock.now(), Time::from_micros(2_005));
}

#[test]
fn arithmetic_saturates() {
    assert_eq!(Time::ZERO - Span::from_secs(1), Time::ZERO);
    assert_eq!(Time::ZERO.since(Time::NEVER), Span::ZERO);
    assert_eq!(Time::NEVER + Span::from_secs(1), Time::NEVER);
}

/// Guards against settings whose time limits wrap around to a short span.
#[test]
fn a_span_longer_than_the_longest_is_the_longest() {
    assert_eq!(Span::from_millis(u64::MAX), Span::from_micros(u64::MAX));
    assert_eq!(Span::from_secs(u64::MAX), Span::from_micros(u64::MAX));
}
