//! Rate limit state of one account at one instance: token bucket, demand and pending borrows.

use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::rate::Amount;
use crate::rate::Attempt;
use crate::rate::Borrow;
use crate::rate::Decision;
use crate::rate::Limit;
use crate::rate::Loan;
use crate::rate::Policy;
use crate::rate::SLICE_COUNT;
use crate::rate::Schedule;
use crate::rate::bucket::Bucket;
use crate::rate::layout::Layout;
use crate::rate::lenders::Lenders;
use crate::rate::recent::Recent;
use crate::rate::waiting::Waiting;

/// Number of demand windows for which tokens are prefetched.
const PREFETCH_WINDOWS: u64 = 2;

/// Minimum tokens that an instance with recent demand keeps available.
pub(super) const MIN_TOKENS: Amount = Amount::from_tokens(1);

/// Minimum bucket capacity with which an instance keeps `MIN_TOKENS` for the next request. With
/// less, such as a single slice, it would only borrow the tokens that others keep for themselves.
const MIN_KEEP_CAPACITY: Amount = Amount::from_tokens(3);

/// After a request waited in vain, loans count only as measured for this long, which is the period
/// of the measurement.
const DRY_PERIOD: Span = Span::from_secs(1);

/// The longest retry-after time, which is also that of an account without a rate.
const RETRY_MAX: Span = Span::from_secs(60);

/// Number of steps in which the jitter of a retry-after time is spread.
const JITTER_STEPS: u64 = 1_024;

/// Rate limit state of one account at one instance.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub bucket: Bucket,
    /// Cost of the requests of the current demand window.
    window_cost: Amount,
    window_end: Time,
    /// Moving average of the cost per demand window.
    demand: Amount,
    waiting: Waiting,
    /// Cost of the requests refused in the last second.
    refused: Recent,
    /// Tokens lent by peers in the last second.
    borrowed: Recent,
    /// Until when the peers are taken to have no more tokens than they lent in the last second.
    dry_until: Time,
    /// When a peer last lent tokens.
    lent_at: Time,
    /// What the peers are expected to lend, as of `expected_at`.
    expected_loans: Amount,
    expected_at: Time,
    lenders: Lenders,
}

impl Account {
    /// Opens an account with an empty bucket.
    pub fn open(now: Time, name: &Arc<str>, layout: Layout, limit: Limit) -> Self {
        Self {
            bucket: Bucket::open(now, name, layout, limit),
            window_cost: Amount::ZERO,
            window_end: now,
            demand: Amount::ZERO,
            waiting: Waiting::default(),
            refused: Recent::default(),
            borrowed: Recent::default(),
            dry_until: Time::ZERO,
            lent_at: Time::ZERO,
            expected_loans: Amount::capacity(limit, SLICE_COUNT),
            expected_at: now,
            lenders: Lenders::default(),
        }
    }

    /// Returns the peers that may lend tokens.
    pub fn lenders(&mut self) -> &mut Lenders {
        &mut self.lenders
    }

    /// Admits, delays or refuses a request.
    ///
    /// A request waits only while its tokens are expected before its deadline. The own refill is
    /// certain. Loans are expected within `Policy::max_wait` of the request's arrival; once a
    /// request has waited while no peer lent anything, only one request at a time waits for more than was lent
    /// in the last second, since every instance would else expect the refill of the whole fleet.
    pub fn admit(
        &mut self,
        now: Time,
        policy: &Policy,
        schedule: &Schedule,
        attempt: &Attempt,
    ) -> Decision {
        self.bucket.settle(now, schedule);
        self.waiting.expire(now);
        let cost = Amount::from_tokens(attempt.cost);
        if attempt.is_first {
            self.window_cost = self.window_cost.saturating_add(cost);
        } else {
            self.waiting.remove(attempt.deadline, cost);
        }
        let ahead = self.waiting.ahead(attempt.deadline, attempt.is_first);
        let available = self.bucket.available();
        let needed = ahead.saturating_add(cost);
        if available >= needed {
            self.bucket.consume(cost);
            return Decision::Run;
        }
        let expected = self.expected_tokens(now, policy, schedule, attempt);
        if now < attempt.deadline && available.saturating_add(expected) >= needed {
            self.waiting.add(attempt.deadline, cost);
            let until = attempt.deadline.min(now + policy.retry_interval);
            return Decision::Wait { until };
        }
        if !attempt.is_first && self.lent_at < attempt.arrived {
            self.dry_until = now + DRY_PERIOD;
        }
        let missing = needed.saturating_sub(available);
        let retry_after = self.retry_after(now, schedule, missing, cost, attempt.salt);
        self.refused.add(now, cost);
        Decision::Refuse { retry_after }
    }

    /// Records that the caller cancelled a waiting request.
    pub fn cancel(&mut self, cost: Amount) {
        self.waiting.remove_latest(cost);
    }

    /// Returns whether the waiting requests cost more than the available tokens.
    pub fn is_short(&self) -> bool {
        self.waiting.total() > self.bucket.available()
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
            self.borrowed.add(now, loan.amount);
            if loan.amount > Amount::ZERO {
                self.lent_at = now;
            }
            if loan.spare > Amount::ZERO {
                self.dry_until = now;
            }
        }
    }

    /// Closes the demand window, expires borrows, and returns how much to borrow from which peer.
    pub fn tick(
        &mut self,
        now: Time,
        policy: &Policy,
        schedule: &Schedule,
    ) -> Vec<(Arc<str>, Amount)> {
        self.waiting.expire(now);
        let is_idle = self.demand.max(self.window_cost).max(self.waiting.total()) == Amount::ZERO;
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
            return self.waiting.total();
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
            return self.waiting.total().saturating_add(ahead);
        }
        let ahead = Amount::from_raw(demand.raw().saturating_mul(PREFETCH_WINDOWS));
        ahead.saturating_add(self.waiting.total()).max(MIN_TOKENS)
    }

    /// Returns the number of tokens that must not be lent.
    ///
    /// A peer that only prefetches receives only what exceeds twice the own target. Otherwise
    /// instances with little demand would lend the same tokens back and forth.
    fn reserve(&self, now: Time, schedule: &Schedule, is_urgent: bool) -> Amount {
        if is_urgent {
            return self.waiting.total().saturating_add(self.demand);
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

    /// Returns the tokens expected to arrive before the request's deadline, by refill and by loans.
    fn expected_tokens(
        &mut self,
        now: Time,
        policy: &Policy,
        schedule: &Schedule,
        attempt: &Attempt,
    ) -> Amount {
        let held = schedule.held(now);
        let left = attempt.deadline.since(now).as_micros();
        let refill = self.bucket.refill(held, left);
        if self.lenders.is_empty() {
            return refill;
        }
        let measured = scale(self.borrowed.sum(now), left);
        let loans_until = attempt.deadline.min(attempt.arrived + policy.max_wait);
        let may_probe = !attempt.is_first || self.waiting.total() == Amount::ZERO;
        if now >= loans_until || (now < self.dry_until && !may_probe) {
            return refill.saturating_add(measured);
        }
        let since = loans_until.since(self.expected_at).as_micros();
        let lent = self
            .expected_loans
            .saturating_add(self.bucket.refill(!held, since))
            .min(self.bucket.capacity(!held));
        refill.saturating_add(lent.max(measured))
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

    /// Returns when a refused request may return: once this instance has received the missing tokens
    /// and those of the requests refused before it in the last second, plus a jitter of up to the
    /// time between two such requests, so that they return one after another.
    fn retry_after(
        &mut self,
        now: Time,
        schedule: &Schedule,
        missing: Amount,
        cost: Amount,
        salt: u64,
    ) -> Span {
        let second = DRY_PERIOD.as_micros();
        let fleet = self.bucket.refill(u64::MAX, second);
        let count = u64::try_from(self.lenders.count()).unwrap_or(u64::MAX);
        let even = Amount::from_raw(fleet.raw() / count.saturating_add(1));
        let own = self.bucket.refill(schedule.held(now), second);
        let inflow = own
            .saturating_add(self.borrowed.sum(now))
            .max(even)
            .min(fleet);
        let backlog = missing.saturating_add(self.refused.sum(now));
        let spacing = time_for(cost, inflow).as_micros();
        let jitter = Span::from_micros(spacing / JITTER_STEPS * (salt % JITTER_STEPS));
        (time_for(backlog, inflow) + jitter).min(RETRY_MAX)
    }
}

/// Returns the part of an amount a second that arrives in `micros` microseconds.
fn scale(per_second: Amount, micros: u64) -> Amount {
    let part = u128::from(per_second.raw()) * u128::from(micros) / 1_000_000;
    Amount::from_raw(u64::try_from(part).unwrap_or(u64::MAX))
}

/// Returns how long an inflow a second takes to bring an amount, at most `RETRY_MAX`.
fn time_for(amount: Amount, per_second: Amount) -> Span {
    let micros =
        (u128::from(amount.raw()) * 1_000_000).div_ceil(u128::from(per_second.raw().max(1)));
    Span::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)).min(RETRY_MAX)
}
