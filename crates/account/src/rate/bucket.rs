//! Token bucket of one account at one instance.

use std::collections::VecDeque;
use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::rate::Amount;
use crate::rate::Limit;
use crate::rate::Schedule;
use crate::rate::layout::Layout;
use crate::rate::placement::Placement;

/// Tokens that were lent or borrowed until a point in time.
#[derive(Clone, Copy, Debug)]
struct Expiring {
    until: Time,
    amount: Amount,
}

/// Token bucket of one account at one instance.
///
/// The sum over all instances never exceeds the burst and never grows faster than the rate, which
/// bounds the grants of every time window by `rate * time + burst`.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    /// The account's name, which determines the slices that carry the limit.
    account: Arc<str>,
    layout: Layout,
    limit: Limit,
    placement: Placement,
    /// The placement of the current limit and the time from which it is used, while a change to
    /// other slices is in progress.
    next_placement: Option<(Placement, Time)>,
    /// Own tokens; `tokens + lent_total` never exceeds the capacity of the slices in use.
    tokens: Amount,
    /// Time up to which the refill is included in `tokens`.
    settled_at: Time,
    /// Outstanding loans to peers, by expiry; each reduces the capacity by its amount until then.
    lent: VecDeque<Expiring>,
    lent_total: Amount,
    /// Borrowed tokens beyond the own capacity, in order of arrival.
    borrowed: VecDeque<Expiring>,
}

impl Bucket {
    /// Opens an empty bucket.
    pub fn open(now: Time, account: &Arc<str>, layout: Layout, limit: Limit) -> Self {
        Self {
            account: Arc::clone(account),
            layout,
            limit,
            placement: layout.place(account, limit),
            next_placement: None,
            tokens: Amount::ZERO,
            settled_at: now,
            lent: VecDeque::new(),
            lent_total: Amount::ZERO,
            borrowed: VecDeque::new(),
        }
    }

    /// Returns the current limit.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Applies a limit; borrowed tokens are dropped, since they were granted under the old one.
    ///
    /// If other slices carry the new limit, only what both placements have in common is used for
    /// `max_delay`: other instances may apply the change that much later, and a slice must
    /// not be counted in both placements.
    pub fn set_limit(
        &mut self,
        now: Time,
        schedule: &Schedule,
        layout: Layout,
        limit: Limit,
        max_delay: Span,
    ) {
        self.settle(now, schedule);
        if limit == self.limit && layout == self.layout {
            return;
        }
        let next = layout.place(&self.account, limit);
        if self.next_placement.is_none() && next.has_slices_of(&self.placement) {
            self.placement = next;
        } else {
            self.placement = self.placement.common(&next);
            self.next_placement = Some((next, now + max_delay));
        }
        self.layout = layout;
        self.limit = limit;
        self.borrowed.clear();
        self.settle(now, schedule);
    }

    /// Applies the refill and the expiry of loans up to `now`; an earlier time changes nothing.
    pub fn settle(&mut self, now: Time, schedule: &Schedule) {
        while let Some(loan) = self.lent.front().copied().filter(|loan| loan.until <= now) {
            // The loan reduces the capacity until it expires, so the refill is applied in two
            // steps.
            self.refill_to(loan.until, schedule);
            self.lent_total = self.lent_total.saturating_sub(loan.amount);
            self.lent.pop_front();
        }
        self.refill_to(now, schedule);
        self.borrowed.retain(|loan| loan.until > now);
    }

    /// Returns the usable tokens, as of the last `settle`.
    pub fn available(&self) -> Amount {
        self.borrowed
            .iter()
            .fold(self.tokens, |sum, loan| sum.saturating_add(loan.amount))
    }

    /// Returns the tokens that can be lent, as of the last `settle`.
    pub fn lendable(&self) -> Amount {
        self.tokens
    }

    /// Returns whether a loan to a peer is outstanding.
    pub fn has_lent(&self) -> bool {
        !self.lent.is_empty()
    }

    /// Consumes tokens, borrowed ones first.
    ///
    /// # Panics
    ///
    /// Panics if fewer tokens are available.
    pub fn consume(&mut self, cost: Amount) {
        let mut rest = cost;
        while let Some(loan) = self.borrowed.front_mut() {
            let part = rest.min(loan.amount);
            loan.amount = loan.amount.saturating_sub(part);
            rest = rest.saturating_sub(part);
            if loan.amount > Amount::ZERO {
                break;
            }
            self.borrowed.pop_front();
        }
        assert!(rest <= self.tokens, "more tokens consumed than available");
        self.tokens = self.tokens.saturating_sub(rest);
    }

    /// Removes tokens for a loan to a peer that expires at `until`.
    ///
    /// # Panics
    ///
    /// Panics if the bucket owns fewer tokens.
    pub fn lend(&mut self, amount: Amount, until: Time) {
        assert!(amount <= self.tokens, "more tokens lent than owned");
        self.tokens = self.tokens.saturating_sub(amount);
        self.lent_total = self.lent_total.saturating_add(amount);
        let place = self.lent.partition_point(|loan| loan.until <= until);
        self.lent.insert(place, Expiring { until, amount });
    }

    /// Adds borrowed tokens; those beyond the own capacity expire at `until`.
    pub fn add_loan(&mut self, now: Time, schedule: &Schedule, amount: Amount, until: Time) {
        self.settle(now, schedule);
        let part = amount.min(
            self.max_tokens(schedule.held(self.settled_at))
                .saturating_sub(self.tokens),
        );
        self.tokens = self.tokens.saturating_add(part);
        let rest = amount.saturating_sub(part);
        if rest > Amount::ZERO && until > self.settled_at {
            self.borrowed.push_back(Expiring {
                until,
                amount: rest,
            });
        }
    }

    /// Returns the capacity of the slices in `held`.
    pub fn capacity(&self, held: u64) -> Amount {
        self.placement.capacity(held)
    }

    /// Returns the refill of the slices in `held` in `micros` microseconds.
    pub fn refill(&self, held: u64, micros: u64) -> Amount {
        self.placement.refill(held, micros)
    }

    /// Returns how long the slices in `held` take to refill `amount`; 60 s if they never do.
    pub fn refill_time(&self, held: u64, amount: Amount) -> Span {
        let each = self.refill(held, 1).raw();
        if each == 0 {
            return Span::from_secs(60);
        }
        Span::from_micros(amount.raw().div_ceil(each))
    }

    /// Fills the buckets of `slices` at once: the fault injected by `Policy::start_full`.
    pub fn fill(&mut self, slices: u64) {
        self.tokens = self.tokens.saturating_add(self.capacity(slices));
    }

    fn refill_to(&mut self, end: Time, schedule: &Schedule) {
        if let Some((next, at)) = self.next_placement
            && at <= end
        {
            self.refill_segments(at, schedule);
            self.placement = next;
            self.next_placement = None;
        }
        self.refill_segments(end, schedule);
    }

    fn refill_segments(&mut self, end: Time, schedule: &Schedule) {
        self.refill_segment(end.min(schedule.full_until), schedule.full);
        if end >= schedule.full_until {
            self.refill_segment(end.min(schedule.pinned_until), schedule.pinned);
        }
        if end >= schedule.pinned_until {
            self.refill_segment(end, 0);
        }
    }

    fn refill_segment(&mut self, end: Time, held: u64) {
        let micros = end.since(self.settled_at).as_micros();
        let refill = self.refill(held, micros);
        self.settled_at = self.settled_at.max(end);
        self.tokens = self
            .tokens
            .saturating_add(refill)
            .min(self.max_tokens(held));
    }

    fn max_tokens(&self, held: u64) -> Amount {
        self.capacity(held).saturating_sub(self.lent_total)
    }
}
