//! Rate limit state of one account at one instance: token bucket, demand and pending borrows.

use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::rate::Amount;
use crate::rate::Borrow;
use crate::rate::Decision;
use crate::rate::Limit;
use crate::rate::Loan;
use crate::rate::Policy;
use crate::rate::SLICE_COUNT;
use crate::rate::Schedule;
use crate::rate::bucket::Bucket;
use crate::rate::lenders::Lenders;

/// Number of demand windows for which tokens are prefetched.
const PREFETCH_WINDOWS: u64 = 2;

/// Minimum tokens that an instance with recent demand keeps available.
pub(super) const MIN_TOKENS: Amount = Amount::from_tokens(1);

/// Minimum bucket capacity with which an instance keeps `MIN_TOKENS` for the next request. With
/// less, such as a single slice, it would only borrow the tokens that others keep for themselves.
const MIN_KEEP_CAPACITY: Amount = Amount::from_tokens(3);

/// Rate limit state of one account at one instance.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub bucket: Bucket,
    /// Cost of the requests of the current demand window.
    window_cost: Amount,
    window_end: Time,
    /// Moving average of the cost per demand window.
    demand: Amount,
    /// Cost of the waiting requests; void once `max_wait` has passed since `waited_at`.
    waiting_cost: Amount,
    waited_at: Time,
    /// What the peers are expected to lend, as of `expected_at`.
    expected_loans: Amount,
    expected_at: Time,
    lenders: Lenders,
}

impl Account {
    /// Opens an account with an empty bucket.
    pub fn open(now: Time, name: &Arc<str>, limit: Limit) -> Self {
        Self {
            bucket: Bucket::open(now, name, limit),
            window_cost: Amount::ZERO,
            window_end: now,
            demand: Amount::ZERO,
            waiting_cost: Amount::ZERO,
            waited_at: Time::ZERO,
            expected_loans: Amount::capacity(limit, SLICE_COUNT),
            expected_at: now,
            lenders: Lenders::default(),
        }
    }

    /// Returns the peers that may lend tokens.
    pub fn lenders(&mut self) -> &mut Lenders {
        &mut self.lenders
    }

    /// Admits, delays or refuses a request: a new one if `since` is `None`, else one that has
    /// waited since then.
    pub fn admit(
        &mut self,
        now: Time,
        policy: &Policy,
        schedule: &Schedule,
        cost: Amount,
        since: Option<Time>,
    ) -> Decision {
        self.bucket.settle(now, schedule);
        let is_first = since.is_none();
        if is_first {
            self.window_cost = self.window_cost.saturating_add(cost);
            if now > self.waited_at + policy.max_wait {
                self.waiting_cost = Amount::ZERO;
            }
        } else {
            self.waiting_cost = self.waiting_cost.saturating_sub(cost);
        }
        // A new request must not overtake the waiting ones.
        let ahead = if is_first {
            self.waiting_cost
        } else {
            Amount::ZERO
        };
        let available = self.bucket.available();
        let needed = ahead.saturating_add(cost);
        if available >= needed {
            self.bucket.consume(cost);
            return Decision::Run;
        }
        let deadline = since.unwrap_or(now) + policy.max_wait;
        if now < deadline
            && available.saturating_add(self.expected_tokens(now, schedule, deadline)) >= needed
        {
            self.waiting_cost = self.waiting_cost.saturating_add(cost);
            self.waited_at = self.waited_at.max(now);
            let until = deadline.min(now + policy.retry_interval);
            return Decision::Wait { until };
        }
        let retry_after = self.fleet_refill_time(needed.saturating_sub(available));
        Decision::Refuse { retry_after }
    }

    /// Records that the caller cancelled a waiting request.
    pub fn cancel(&mut self, cost: Amount) {
        self.waiting_cost = self.waiting_cost.saturating_sub(cost);
    }

    /// Returns whether the waiting requests cost more than the available tokens.
    pub fn is_short(&self) -> bool {
        self.waiting_cost > self.bucket.available()
    }

    /// Lends tokens that this instance does not need itself.
    pub fn lend(
        &mut self,
        now: Time,
        policy: &Policy,
        schedule: &Schedule,
        borrow: &Borrow,
    ) -> Loan {
        self.bucket.settle(now, schedule);
        let limit = self.bucket.limit();
        let reserve = self.reserve(now, schedule, borrow.is_urgent);
        let spare = self.bucket.lendable().saturating_sub(reserve);
        let mut amount = Amount::ZERO;
        if borrow.limit == limit {
            amount = spare.min(borrow.amount);
        }
        // A partial loan of less than a token would expire unused at the borrower.
        if amount < borrow.amount && amount < MIN_TOKENS {
            amount = Amount::ZERO;
        }
        if amount > Amount::ZERO {
            self.bucket.lend(amount, now + policy.loan);
        }
        Loan {
            borrow_id: borrow.id,
            life: borrow.life,
            account: Arc::clone(&borrow.account),
            limit,
            amount,
            spare: spare.saturating_sub(amount),
        }
    }

    /// Applies a loan if its borrow is pending and it was granted under the current limit.
    pub fn on_loan(
        &mut self,
        now: Time,
        policy: &Policy,
        schedule: &Schedule,
        from: &str,
        loan: &Loan,
    ) {
        let Some(started) = self.lenders.on_loan(now, policy, &self.bucket, from, loan) else {
            return;
        };
        let until = started + policy.loan;
        if loan.limit == self.bucket.limit() && now < until {
            self.bucket.add_loan(now, schedule, loan.amount, until);
        }
    }

    /// Closes the demand window, expires borrows, and returns how much to borrow from which peer.
    pub fn tick(
        &mut self,
        now: Time,
        policy: &Policy,
        schedule: &Schedule,
    ) -> Vec<(Arc<str>, Amount)> {
        let is_idle = self.demand.max(self.window_cost).max(self.waiting_cost) == Amount::ZERO;
        if is_idle && self.lenders.has_no_pending() {
            return Vec::new();
        }
        self.bucket.settle(now, schedule);
        self.close_window(now, policy);
        self.lenders.expire(now, policy);
        self.expected_loans = self.lenders.expected_loans(now, &self.bucket, schedule);
        self.expected_at = now;
        self.borrows(now, policy, schedule)
    }

    /// Returns whether the account can be removed: it has no limit and no outstanding loans.
    pub fn is_removable(&self) -> bool {
        self.bucket.limit() == Limit::default() && !self.bucket.has_lent()
    }

    /// Returns the number of tokens that this instance aims to have available.
    fn target(&self, schedule: &Schedule, now: Time) -> Amount {
        let demand = self.demand.max(self.window_cost);
        if demand == Amount::ZERO {
            return self.waiting_cost;
        }
        let can_keep = self.bucket.capacity(schedule.held(now)) >= MIN_KEEP_CAPACITY;
        if !can_keep {
            // Prefetched tokens expire with their loan, so prefetching pays off for steady demand
            // only.
            let ahead = Amount::from_raw(self.demand.raw().saturating_mul(PREFETCH_WINDOWS));
            let ahead = if ahead >= MIN_TOKENS {
                ahead
            } else {
                Amount::ZERO
            };
            return self.waiting_cost.saturating_add(ahead);
        }
        let ahead = Amount::from_raw(demand.raw().saturating_mul(PREFETCH_WINDOWS));
        ahead.saturating_add(self.waiting_cost).max(MIN_TOKENS)
    }

    /// Returns the number of tokens that must not be lent.
    ///
    /// A peer that only prefetches receives only what exceeds twice the own target. Otherwise
    /// instances with little demand would lend the same tokens back and forth.
    fn reserve(&self, now: Time, schedule: &Schedule, is_urgent: bool) -> Amount {
        if is_urgent {
            return self.waiting_cost.saturating_add(self.demand);
        }
        Amount::from_raw(self.target(schedule, now).raw().saturating_mul(2))
    }

    fn borrows(&self, now: Time, policy: &Policy, schedule: &Schedule) -> Vec<(Arc<str>, Amount)> {
        let target = self.target(schedule, now);
        let available = self.bucket.available();
        if available >= target {
            return Vec::new();
        }
        let missing = target.saturating_sub(available);
        self.lenders
            .choose(now, policy, &self.bucket, missing, self.is_short())
    }

    /// Returns the tokens expected to arrive until `deadline`, by refill and by loans.
    fn expected_tokens(&self, now: Time, schedule: &Schedule, deadline: Time) -> Amount {
        let held = schedule.held(now);
        let refill = self.bucket.refill(held, deadline.since(now).as_micros());
        if self.lenders.is_empty() {
            return refill;
        }
        let since = deadline.since(self.expected_at).as_micros();
        let lent = self
            .expected_loans
            .saturating_add(self.bucket.refill(!held, since))
            .min(self.bucket.capacity(!held));
        refill.saturating_add(lent)
    }

    fn close_window(&mut self, now: Time, policy: &Policy) {
        if now < self.window_end {
            return;
        }
        let smoothed = (self.demand.raw() / 4) * 3 + self.window_cost.raw() / 4;
        self.demand = Amount::from_raw(smoothed);
        self.window_cost = Amount::ZERO;
        self.window_end = now + policy.demand_window;
    }

    fn fleet_refill_time(&self, missing: Amount) -> Span {
        self.bucket.refill_time(u64::MAX, missing)
    }
}
