//! The pace of requests to a cold server.

use clock::Span;

use crate::warmup::Allowance;

/// Requests, in thousandths, that may come in a second in addition to one a slot: one slot each may
/// reach into the second from before and after.
const EDGES_MILLI: u64 = 2_000;
/// The difference of two instances' wall clocks up to which the bound holds; an assumption, as the
/// platform states none. With a larger difference the mean rate still holds.
const CLOCK_ERROR: Span = Span::from_millis(100);
/// Longest time for which an unused slot is kept. Keeping slots longer makes bursts longer without
/// more requests on average.
const HOLD_MAX: Span = Span::from_secs(1);

/// The pace of requests to a cold server.
///
/// Wall-clock time is divided into slots of `1 / rate`, of which each admits one request. A slot
/// that began at `t` can be used until `t + 1 / rate + hold`. At most `rate * (1 + hold) + 2` slots
/// can be used within a second, which `hold` keeps within the allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Slots per second, in thousandths; not 0.
    rate_milli: u64,
    /// How long a slot can be used after its end.
    hold: Span,
}

impl Pace {
    /// Returns the pace for a rate of requests a second in thousandths; `None` if the rate doesn't
    /// limit requests.
    pub fn open(rate_milli: u64, allowance: Allowance) -> Option<Self> {
        if rate_milli == 0 {
            return None;
        }
        let most = rate_milli.saturating_mul(allowance.excess_percent) / 100;
        let most = most.saturating_add(allowance.slack.saturating_mul(1_000));
        // An allowance without room for the edges lowers the rate instead.
        let most = most.saturating_sub(EDGES_MILLI).max(1);
        let rate_milli = rate_milli.min(most);
        let spare = u128::from(most - rate_milli) * 1_000_000 / u128::from(rate_milli);
        let spare = Span::from_micros(u64::try_from(spare).unwrap_or(u64::MAX));
        let hold = spare.as_micros().saturating_sub(CLOCK_ERROR.as_micros());
        let hold = Span::from_micros(hold.min(HOLD_MAX.as_micros()));
        Some(Self { rate_milli, hold })
    }

    /// Returns the number of the slot at a wall-clock time.
    pub(super) fn slot(self, wall_ms: u64) -> u64 {
        let slot = u128::from(wall_ms) * u128::from(self.rate_milli) / 1_000_000;
        u64::try_from(slot).unwrap_or(u64::MAX)
    }

    /// Returns the first slot that can still be used at a wall-clock time.
    pub(super) fn first_usable(self, wall_ms: u64) -> u64 {
        // The slot of `hold` ago is the first that ended less than `hold` ago.
        self.slot(wall_ms.saturating_sub(self.hold.as_millis()))
    }
}
