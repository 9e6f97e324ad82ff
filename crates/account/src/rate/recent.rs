//! The amount counted in the last second.

use clock::Span;
use clock::Time;

use crate::rate::Amount;

/// The period over which amounts are counted.
const PERIOD: Span = Span::from_secs(1);

/// The amount counted in the last second, estimated from two periods of a second each.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Recent {
    begun: Time,
    current: Amount,
    last: Amount,
}

impl Recent {
    /// Counts an amount.
    pub fn add(&mut self, now: Time, amount: Amount) {
        self.turn(now);
        self.current = self.current.saturating_add(amount);
    }

    /// Returns the amount counted in the second before `now`.
    pub fn sum(&mut self, now: Time) -> Amount {
        self.turn(now);
        let period = PERIOD.as_micros();
        let left = period.saturating_sub(now.since(self.begun).as_micros());
        let last = u128::from(self.last.raw()) * u128::from(left) / u128::from(period);
        let last = Amount::from_raw(u64::try_from(last).unwrap_or(u64::MAX));
        self.current.saturating_add(last)
    }

    fn turn(&mut self, now: Time) {
        if now < self.begun + PERIOD {
            return;
        }
        let is_next = now < self.begun + PERIOD + PERIOD;
        self.last = if is_next { self.current } else { Amount::ZERO };
        self.current = Amount::ZERO;
        self.begun = if is_next { self.begun + PERIOD } else { now };
    }
}
