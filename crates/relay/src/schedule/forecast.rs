//! Forecast of when the queue in front of a server has room.

use clock::Span;
use clock::Time;

use crate::schedule::Overload;

/// Service time before the first measurement: a statement of the order of 10 ms on a connection
/// whose opening takes 12 ms.
const SERVICE_PRIOR: Span = Span::from_millis(20);
/// Weight of the former average against one measurement. An average over about 16 statements
/// follows a change within a quarter of a second at 60 statements a second.
const SERVICE_WEIGHT: u64 = 15;
/// Measurements from which on waits are predicted; before, the prior would refuse requests that a
/// fast server could answer.
const SERVICE_MEASURED: u64 = SERVICE_WEIGHT + 1;
/// Number of steps in which the jitter of a return is spread.
const JITTER_STEPS: u64 = 1_024;

/// Forecasts when the queue in front of a server has room, from the measured service times.
///
/// Each refused request gets its own place after the queue and after those refused before it, so
/// that they return one after another, at the rate at which the server frees its slots.
#[derive(Clone, Copy, Debug)]
pub struct Forecast {
    /// Moving average of the time that a statement uses a connection.
    service: Span,
    /// The number of measurements, up to `SERVICE_MEASURED`.
    measured: u64,
    /// The latest place that was given to a refused request.
    last_place: Time,
}

impl Forecast {
    /// Opens a forecast without measurements.
    pub fn open() -> Self {
        Self {
            service: SERVICE_PRIOR,
            measured: 0,
            last_place: Time::ZERO,
        }
    }

    /// Records for how long a statement used a connection, including the time to open it.
    pub fn on_served(&mut self, used: Span) {
        let sum = self.service.as_micros().saturating_mul(SERVICE_WEIGHT);
        let sum = sum.saturating_add(used.as_micros());
        self.service = Span::from_micros(sum / (SERVICE_WEIGHT + 1));
        self.measured = SERVICE_MEASURED.min(self.measured + 1);
    }

    /// Returns how long a request is expected to wait behind `work`; `None` before there are enough
    /// measurements.
    pub fn wait(&self, work: Span, slots: usize) -> Option<Span> {
        if self.measured < SERVICE_MEASURED {
            return None;
        }
        let count = u64::try_from(slots.max(1)).unwrap_or(u64::MAX);
        Some(Span::from_micros(work.as_micros() / count) + self.spacing(slots))
    }

    /// Returns the average time between two slots that become free.
    pub fn spacing(&self, slots: usize) -> Span {
        let slots = u64::try_from(slots.max(1)).unwrap_or(u64::MAX);
        Span::from_micros((self.service.as_micros() / slots).max(1))
    }

    /// Returns when a request that is refused now may return.
    ///
    /// Places that lie after the request's time limit are of no use to its caller; such requests
    /// are spread over the time that is left instead.
    pub fn retry_after(&mut self, now: Time, overload: &Overload) -> Span {
        let spacing = self.spacing(overload.slots);
        let waiting = u64::try_from(overload.waiting).unwrap_or(u64::MAX);
        let work = Span::from_micros(spacing.as_micros().saturating_mul(waiting));
        // The queue has room again once its work fits into the wait that it allows.
        let room = now + work - overload.max_queue_age;
        let first = room.max(now) + spacing;
        let place = first.max(self.last_place + spacing);
        let limit = now + overload.time_left;
        if place > limit {
            let left = limit.since(first).as_micros();
            let part = left / JITTER_STEPS * (overload.salt % JITTER_STEPS);
            return (first + Span::from_micros(part)).since(now);
        }
        self.last_place = place;
        let jitter = spacing.as_micros() * (overload.salt % JITTER_STEPS) / JITTER_STEPS;
        (place + Span::from_micros(jitter)).since(now)
    }
}
