//! Tests of the decisions on waiting and admission, without a network.

use clock::Span;
use clock::Time;
use relay::schedule::Forecast;
use relay::schedule::Overload;
use relay::schedule::salt;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

/// Returns the state of a queue in front of four slots with 40 waiting requests.
fn overload(index: u64) -> Overload {
    Overload {
        waiting: 40,
        slots: 4,
        max_queue_age: Span::from_millis(50),
        time_left: Span::from_secs(3),
        salt: salt(&index.to_string()),
    }
}

/// Returns a forecast for statements that take 20 ms.
fn measured() -> Forecast {
    let mut forecast = Forecast::open();
    for _ in 0..200 {
        forecast.on_served(Span::from_millis(20));
    }
    forecast
}

/// Replays callers that are all refused in the same moment: they must not return together.
#[test]
fn callers_refused_together_return_at_the_rate_of_the_slots() {
    let mut forecast = measured();
    let times: Vec<Span> = (0..100)
        .map(|index| forecast.retry_after(at(1_000), &overload(index)))
        .collect();
    assert!(times.is_sorted(), "in the order of arrival: {times:?}");
    // 40 requests take 200 ms at four slots, of which the queue allows 50 ms.
    assert!(times[0] >= Span::from_millis(150), "{:?}", times[0]);
    for (index, first) in times.iter().enumerate() {
        let until = *first + Span::from_millis(100);
        let count = times[index..].iter().filter(|time| **time < until).count();
        assert!(count <= 21, "{count} return in 100 ms, four slots serve 20");
    }
}

/// Guards against return times that grow without limit in a long overload.
#[test]
fn in_a_long_overload_all_return_within_their_time_limit_and_spread() {
    let mut forecast = measured();
    let times: Vec<Span> = (0..5_000)
        .map(|index| forecast.retry_after(at(1_000), &overload(index)))
        .collect();
    let limit = Span::from_millis(3_005);
    assert!(times.iter().all(|time| *time <= limit));
    let late = &times[1_000..];
    let half = Span::from_millis(1_575);
    let early = late.iter().filter(|time| **time < half).count();
    assert!(
        (1_800..=2_200).contains(&early),
        "{early} of 4000 return in the first half"
    );
}

/// Guards against a fixed retry-after time that ignores how fast the server is.
#[test]
fn the_return_follows_the_measured_service_time() {
    let mut slow = measured();
    for _ in 0..200 {
        slow.on_served(Span::from_millis(60));
    }
    let fast = measured().retry_after(at(1_000), &overload(0));
    let slow = slow.retry_after(at(1_000), &overload(0));
    assert!(
        slow.as_micros() > 2 * fast.as_micros(),
        "slow={slow} fast={fast}"
    );
}

/// Guards against places promised long ago that delay requests after the overload has ended.
#[test]
fn after_the_overload_a_request_returns_as_soon_as_there_is_room() {
    let mut forecast = measured();
    for index in 0..100 {
        forecast.retry_after(at(1_000), &overload(index));
    }
    let empty = Overload {
        waiting: 1,
        ..overload(0)
    };
    let later = forecast.retry_after(at(5_000), &empty);
    assert!(later <= Span::from_millis(10), "{later}");
}
