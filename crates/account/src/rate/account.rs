//! One account at one instance: its bucket, its demand and its open asks.

use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::rate::Amount;
use crate::rate::Ask;
use crate::rate::Decision;
use crate::rate::Limit;
use crate::rate::Loan;
use crate::rate::Policy;
use crate::rate::SLICES;
use crate::rate::Schedule;
use crate::rate::bucket::Bucket;
use crate::rate::lenders::Lenders;

/// Windows of demand for which tokens are fetched ahead.
const HORIZON: u64 = 2;

/// Tokens that an instance with recent demand keeps at hand.
pub(super) const FLOOR: Amount = Amount::from_tokens(1);

/// Room with which an instance keeps a token for the next request; with less, which is that of a
/// slice, it would only ask others for what they keep themselves.
const KEPT: Amount = Amount::from_tokens(3);

/// One account at one instance.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub bucket: Bucket,
    /// Cost of requests in the current window.
    counted: Amount,
    window_end: Time,
    /// Smoothed cost of the requests of a window.
    demand: Amount,
    /// Cost of the requests that wait; it ends at the latest `max_wait` after `waited_at`.
    waiting: Amount,
    waited_at: Time,
    /// What the peers are expected to lend, as of `hope_at`.
    hope: Amount,
    hope_at: Time,
    lenders: Lenders,
}

impl Account {
    /// Opens an account without tokens.
    pub fn open(now: Time, name: &Arc<str>, limit: Limit) -> Self {
        Self {
            bucket: Bucket::open(now, name, limit),
            counted: Amount::ZERO,
            window_end: now,
            demand: Amount::ZERO,
            waiting: Amount::ZERO,
            waited_at: Time::ZERO,
            hope: Amount::capacity(limit, SLICES),
            hope_at: now,
            lenders: Lenders::default(),
        }
    }

    /// Returns the instances that may be asked for loans.
    pub fn lenders(&mut self) -> &mut Lenders {
        &mut self.lenders
    }

    /// Decides about a request that waits since `since`, or that is new.
    pub fn admit(
        &mut self,
        now: Time,
        policy: &Policy,
        schedule: &Schedule,
        cost: Amount,
        since: Option<Time>,
    ) -> Decision {
        self.bucket.settle(now, schedule);
        let first = since.is_none();
        if first {
            self.counted = self.counted.plus(cost);
            if now > self.waited_at + policy.max_wait {
                self.waiting = Amount::ZERO;
            }
        } else {
            self.waiting = self.waiting.minus(cost);
        }
        // A request that comes now does not overtake those that wait.
        let ahead = if first { self.waiting } else { Amount::ZERO };
        let available = self.bucket.available();
        let needed = ahead.plus(cost);
        if available >= needed {
            self.bucket.take(cost);
            return Decision::Run;
        }
        let deadline = since.unwrap_or(now) + policy.max_wait;
        if now < deadline && available.plus(self.coming(now, schedule, deadline)) >= needed {
            self.waiting = self.waiting.plus(cost);
            self.waited_at = self.waited_at.max(now);
            let until = deadline.min(now + policy.retry);
            return Decision::Wait { until };
        }
        let retry_after = self.refill_time(needed.minus(available));
        Decision::Refuse { retry_after }
    }

    /// Records that a waiting request was given up by its caller.
    pub fn cancel(&mut self, cost: Amount) {
        self.waiting = self.waiting.minus(cost);
    }

    /// Returns whether requests wait for which there are no tokens.
    pub fn is_short(&self) -> bool {
        self.waiting > self.bucket.available()
    }

    /// Lends what this instance does not need itself.
    pub fn lend(&mut self, now: Time, policy: &Policy, schedule: &Schedule, ask: &Ask) -> Loan {
        self.bucket.settle(now, schedule);
        let limit = self.bucket.limit();
        let reserve = self.reserve(now, schedule, ask.urgent);
        let spare = self.bucket.own().minus(reserve);
        let mut amount = Amount::ZERO;
        if ask.limit == limit {
            amount = spare.min(ask.amount);
        }
        // Less than a token, and less than was asked for, would end unused at the borrower.
        if amount < ask.amount && amount < FLOOR {
            amount = Amount::ZERO;
        }
        if amount > Amount::ZERO {
            self.bucket.lend(amount, now + policy.loan);
        }
        Loan {
            ask: ask.id,
            life: ask.life,
            account: Arc::clone(&ask.account),
            limit,
            amount,
            spare: spare.minus(amount),
        }
    }

    /// Applies a loan if its ask is open and it was given under the limit in force.
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
            self.bucket.receive(now, schedule, loan.amount, until);
        }
    }

    /// Closes windows and asks, and returns what to ask of which peer.
    pub fn tick(
        &mut self,
        now: Time,
        policy: &Policy,
        schedule: &Schedule,
    ) -> Vec<(Arc<str>, Amount)> {
        let is_idle = self.demand.max(self.counted).max(self.waiting) == Amount::ZERO;
        if is_idle && self.lenders.has_asked_nobody() {
            return Vec::new();
        }
        self.bucket.settle(now, schedule);
        self.close_window(now, policy);
        self.lenders.close(now, policy);
        self.hope = self.lenders.hope(now, &self.bucket, schedule);
        self.hope_at = now;
        self.asks(now, policy, schedule)
    }

    /// Returns whether the account has neither a limit nor loans under way.
    pub fn is_over(&self) -> bool {
        self.bucket.limit() == Limit::default() && !self.bucket.has_lent()
    }

    /// Returns the tokens that this instance wants to have at hand.
    fn target(&self, schedule: &Schedule, now: Time) -> Amount {
        let demand = self.demand.max(self.counted);
        if demand == Amount::ZERO {
            return self.waiting;
        }
        let can_keep = self.bucket.capacity(schedule.held(now)) >= KEPT;
        if !can_keep {
            // What is fetched ahead ends as a loan does, so it is worth it for steady demand only.
            let ahead = Amount::from_raw(self.demand.raw().saturating_mul(HORIZON));
            let ahead = if ahead >= FLOOR { ahead } else { Amount::ZERO };
            return self.waiting.plus(ahead);
        }
        let ahead = Amount::from_raw(demand.raw().saturating_mul(HORIZON));
        ahead.plus(self.waiting).max(FLOOR)
    }

    /// Returns the tokens that are not lent.
    ///
    /// A peer that only fetches ahead gets what is far above the own target. Else instances with
    /// little demand would lend the same tokens to each other without end.
    fn reserve(&self, now: Time, schedule: &Schedule, urgent: bool) -> Amount {
        if urgent {
            return self.waiting.plus(self.demand);
        }
        Amount::from_raw(self.target(schedule, now).raw().saturating_mul(2))
    }

    fn asks(&self, now: Time, policy: &Policy, schedule: &Schedule) -> Vec<(Arc<str>, Amount)> {
        let target = self.target(schedule, now);
        let available = self.bucket.available();
        if available >= target {
            return Vec::new();
        }
        let missing = target.minus(available);
        self.lenders
            .choose(now, policy, &self.bucket, missing, self.is_short())
    }

    /// Returns what will have come until `deadline`, by inflow and by loans.
    fn coming(&self, now: Time, schedule: &Schedule, deadline: Time) -> Amount {
        let held = schedule.held(now);
        let inflow = self.bucket.inflow(held, deadline.since(now).as_micros());
        if self.lenders.is_empty() {
            return inflow;
        }
        let since = deadline.since(self.hope_at).as_micros();
        let lent = self
            .hope
            .plus(self.bucket.inflow(!held, since))
            .min(self.bucket.capacity(!held));
        inflow.plus(lent)
    }

    fn close_window(&mut self, now: Time, policy: &Policy) {
        if now < self.window_end {
            return;
        }
        let smoothed = (self.demand.raw() / 4) * 3 + self.counted.raw() / 4;
        self.demand = Amount::from_raw(smoothed);
        self.counted = Amount::ZERO;
        self.window_end = now + policy.demand_window;
    }

    fn refill_time(&self, missing: Amount) -> Span {
        self.bucket.time_to(u64::MAX, missing)
    }
}
