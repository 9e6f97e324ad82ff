//! Timing and tuning parameters of the limiter.

use clock::Span;

use crate::rate::Quota;
use crate::rate::SLICE_COUNT;

/// Maximum factor by which leases and related intervals grow with the fleet.
const FLEET_SCALE_MAX: usize = 4;

/// Minimum number of slice holders of a large fleet: three in each of three zones.
const HOLDERS_MIN: usize = 9;
/// One further instance holds slices per this many instances.
const INSTANCES_PER_HOLDER: usize = 64;

/// Timing and tuning parameters of the limiter; they must be the same at all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Short lease, which covers all slices; starts with the write that renewed it.
    pub lease: Span,
    /// Long lease, which covers the pinned slices; starts with the same write.
    pub long_lease: Span,
    /// Extra time before a takeover after a short lease, to tolerate differences in clock speed.
    pub lease_margin: Span,
    /// Extra time before a takeover after a long lease.
    pub long_lease_margin: Span,
    /// Interval at which the own row is renewed.
    pub renew_interval: Span,
    /// Interval at which all rows are read.
    pub read_interval: Span,
    /// Interval at which all rows are read while no other instance is known.
    pub first_read_interval: Span,
    /// After a longer gap between reads all rows count as just renewed, since their holders may
    /// have been unable to reach the table too.
    pub max_read_gap: Span,
    /// Timeout of a table call.
    pub call_timeout: Span,
    /// How long an elector's promise is valid, from the start of the request.
    pub promise: Span,
    /// Interval at which promises are requested while the own row cannot be renewed.
    pub promise_interval: Span,
    /// Percentage of an instance's slices that are pinned: not taken over before the long lease
    /// lapses.
    pub pinned_percent: u32,
    /// How long borrowed tokens can be used, from the time at which the borrow was sent.
    pub loan: Span,
    /// How long newly acquired slices stay unused; longer than `loan`, so that the loans of the
    /// previous holder have expired.
    pub activation_delay: Span,
    /// Maximum time that a request waits for tokens of other instances, and in `Limiter::admit` for
    /// any tokens.
    pub max_wait: Span,
    /// Interval at which a waiting request is tried again.
    pub retry_interval: Span,
    /// Window over which demand is measured.
    pub demand_window: Span,
    /// Backoff from a peer that did not answer a borrow.
    pub silence_backoff: Span,
    /// Backoff from a peer that lent nothing.
    pub empty_backoff: Span,
    /// Maximum number of doublings of `empty_backoff` for a peer that repeatedly lends nothing.
    pub empty_doublings: u32,
    /// Maximum number of pending borrows per account; peers expected to lend the most come first.
    pub max_borrows: usize,
    /// Maximum time until every instance has applied a change of the limits or has stopped
    /// granting.
    pub max_settings_delay: Span,
    /// Number of members above which leases and related intervals grow in proportion, up to
    /// `FLEET_SCALE_MAX`: the table's load grows with the number of members while each holds fewer
    /// slices.
    pub fleet_size: usize,
    /// How long a new member waits after it has registered before it acquires free slices. Members
    /// that start together then know each other, so that slices move once.
    pub join_delay: Span,
    /// Time between the acquisitions of new members that start together, which would conflict.
    pub join_spacing: Span,
    /// How the deployment measures the usage of an account; `None` if the limits are those of the
    /// buckets.
    pub quota: Option<Quota>,
    /// Fault injection for tests: a repeated loan is applied again.
    pub repeat_loans: bool,
    /// Fault injection for tests: takeovers need no consent.
    pub skip_consent: bool,
    /// Fault injection for tests: new slices start with a full bucket.
    pub start_full: bool,
    /// Fault injection for tests: a row whose new version another instance passed on counts as not
    /// renewed.
    pub ignore_passed_renewals: bool,
    /// Fault injection for tests: a holder keeps using its slices after its lease has lapsed.
    pub ignore_lapse: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            lease: Span::from_secs(3),
            long_lease: Span::from_secs(75 * 60),
            lease_margin: Span::from_millis(200),
            long_lease_margin: Span::from_secs(75),
            renew_interval: Span::from_secs(1),
            read_interval: Span::from_millis(300),
            first_read_interval: Span::from_millis(300),
            max_read_gap: Span::from_secs(1),
            call_timeout: Span::from_secs(5),
            promise: Span::from_secs(3),
            promise_interval: Span::from_millis(500),
            pinned_percent: 25,
            loan: Span::from_millis(50),
            activation_delay: Span::from_millis(100),
            max_wait: Span::from_millis(20),
            retry_interval: Span::from_millis(2),
            demand_window: Span::from_millis(10),
            silence_backoff: Span::from_millis(200),
            empty_backoff: Span::from_millis(10),
            empty_doublings: 0,
            max_borrows: usize::MAX,
            max_settings_delay: Span::from_secs(5),
            fleet_size: usize::MAX,
            join_delay: Span::ZERO,
            join_spacing: Span::ZERO,
            quota: None,
            repeat_loans: false,
            skip_consent: false,
            start_full: false,
            ignore_passed_renewals: false,
            ignore_lapse: false,
        }
    }
}

impl Policy {
    /// Returns whether a fleet with `members` other members is so large that few of them read the
    /// rows for all.
    pub fn passes_rows_on(&self, members: usize) -> bool {
        members >= self.fleet_size
    }

    /// Returns how many of `members` members hold slices.
    pub fn holder_count(&self, members: usize) -> usize {
        if !self.passes_rows_on(members) {
            return members;
        }
        let more = members / INSTANCES_PER_HOLDER;
        (HOLDERS_MIN + more).min(SLICE_COUNT as usize)
    }

    /// Scales a lease or related interval to a fleet with `members` other members.
    pub fn scale_to_fleet(&self, span: Span, members: usize) -> Span {
        let most = self.fleet_size.saturating_mul(FLEET_SCALE_MAX);
        let members = members.clamp(self.fleet_size, most);
        let micros =
            u128::from(span.as_micros()) * members as u128 / self.fleet_size.max(1) as u128;
        Span::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
