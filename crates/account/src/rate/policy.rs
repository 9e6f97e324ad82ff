//! Times and proportions of the ledger.

use clock::Span;

/// Times and proportions of the ledger; the same at all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The short lease, from the start of the write that renewed it.
    pub lease: Span,
    /// The long lease of pinned slices, from the start of the same write.
    pub hold: Span,
    /// How much longer than a lease a taker waits, for clocks that run at different speeds.
    pub lease_margin: Span,
    /// The same for the long lease.
    pub hold_margin: Span,
    /// How often the own row is renewed.
    pub renew_interval: Span,
    /// How often the rows are read.
    pub read_interval: Span,
    /// How often the rows are read while no other instance is known.
    pub first_read_interval: Span,
    /// After a longer gap between reads all rows count as just changed, since their holders may
    /// not have been able to renew them either.
    pub max_read_gap: Span,
    /// After this time a table call counts as one without an answer.
    pub call: Span,
    /// How long a promise of an elector lasts.
    pub promise: Span,
    /// How often promises are asked for while the table does not answer.
    pub ask_promise: Span,
    /// Percentage of the slices that nobody takes over before the long lease lapses.
    pub pinned_percent: u32,
    /// How long borrowed tokens can be used, from the start of the ask.
    pub loan: Span,
    /// How long new slices stay unused; longer than `loan`, so that loans given by the previous
    /// holder have ended.
    pub activation_delay: Span,
    /// How long a request may wait for tokens.
    pub max_wait: Span,
    /// How often a waiting request asks again.
    pub retry: Span,
    /// The window over which demand is measured.
    pub demand_window: Span,
    /// How long a peer that did not answer an ask is not asked again.
    pub silence: Span,
    /// How long a peer that lent nothing is not asked again.
    pub empty_backoff: Span,
    /// How often `empty` is doubled for a peer that has nothing to lend again and again.
    pub empty_doublings: u32,
    /// The most peers that are asked at a time; those with the most to spare come first.
    pub max_borrows: usize,
    /// Longest time until all instances apply a change of the limits or grant nothing more.
    pub spread: Span,
    /// With more members than this, leases and the times that go with them grow in proportion, up
    /// to twice: each member's part is smaller, and the table's calls grow with the members.
    pub fleet_size: usize,
    /// A fault for tests: a repeated loan is applied again.
    pub repeat_loans: bool,
    /// A fault for tests: takeovers need no consent.
    pub skip_consent: bool,
    /// A fault for tests: new slices start with a full bucket.
    pub start_full: bool,
    /// A fault for tests: a holder goes on after its lease lapsed.
    pub ignore_lapse: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            lease: Span::from_secs(3),
            hold: Span::from_secs(75 * 60),
            lease_margin: Span::from_millis(200),
            hold_margin: Span::from_secs(75),
            renew_interval: Span::from_secs(1),
            read_interval: Span::from_millis(300),
            first_read_interval: Span::from_millis(300),
            max_read_gap: Span::from_secs(1),
            call: Span::from_secs(5),
            promise: Span::from_secs(3),
            ask_promise: Span::from_millis(500),
            pinned_percent: 25,
            loan: Span::from_millis(50),
            activation_delay: Span::from_millis(100),
            max_wait: Span::from_millis(20),
            retry: Span::from_millis(2),
            demand_window: Span::from_millis(10),
            silence: Span::from_millis(200),
            empty_backoff: Span::from_millis(10),
            empty_doublings: 0,
            max_borrows: usize::MAX,
            spread: Span::from_secs(5),
            fleet_size: usize::MAX,
            repeat_loans: false,
            skip_consent: false,
            start_full: false,
            ignore_lapse: false,
        }
    }
}

impl Policy {
    /// Returns a time of the leases for a fleet with `members` besides this one.
    pub fn for_fleet(&self, span: Span, members: usize) -> Span {
        let members = members.clamp(self.fleet_size, self.fleet_size.saturating_mul(2));
        let micros =
            u128::from(span.as_micros()) * members as u128 / self.fleet_size.max(1) as u128;
        Span::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
