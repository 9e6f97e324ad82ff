//! One account's tokens at one instance.

use std::collections::VecDeque;
use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::rate::Amount;
use crate::rate::Limit;
use crate::rate::Schedule;
use crate::rate::portion::Portion;

/// Tokens that count until a point in time.
#[derive(Clone, Copy, Debug)]
struct Timed {
    until: Time,
    amount: Amount,
}

/// One account's tokens at one instance.
///
/// Over all instances the tokens never exceed the burst and never grow faster than the rate; that
/// bounds the grants of every window by `rate * time + burst`.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    /// The account's name, which decides which slices carry the limit.
    account: Arc<str>,
    limit: Limit,
    portion: Portion,
    /// What carries the limit later on, once other slices carried an earlier one.
    next: Option<(Portion, Time)>,
    /// Own tokens; `tokens + lent_sum` never exceeds the capacity of the slices in use.
    tokens: Amount,
    /// `tokens` counts the inflow up to this point.
    at: Time,
    /// Loans given, in the order of their end; each takes away its amount of capacity until then.
    lent: VecDeque<Timed>,
    lent_sum: Amount,
    /// Loans received above the own capacity, in the order in which they came.
    borrowed: VecDeque<Timed>,
}

impl Bucket {
    /// Opens an empty bucket.
    pub fn open(now: Time, account: &Arc<str>, limit: Limit) -> Self {
        Self {
            account: Arc::clone(account),
            limit,
            portion: Portion::of(account, limit),
            next: None,
            tokens: Amount::ZERO,
            at: now,
            lent: VecDeque::new(),
            lent_sum: Amount::ZERO,
            borrowed: VecDeque::new(),
        }
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Puts a limit in force; received loans end, since they were given under the old one.
    ///
    /// Where other slices carry it than before, only what is common to both is used for `spread`:
    /// other instances may apply it that much later, and each slice must not count for both.
    pub fn set_limit(&mut self, now: Time, schedule: &Schedule, limit: Limit, spread: Span) {
        self.settle(now, schedule);
        if limit == self.limit {
            return;
        }
        let next = Portion::of(&self.account, limit);
        if self.next.is_none() && next.has_slices_of(&self.portion) {
            self.portion = next;
        } else {
            self.portion = self.portion.common(&next);
            self.next = Some((next, now + spread));
        }
        self.limit = limit;
        self.borrowed.clear();
        self.settle(now, schedule);
    }

    /// Counts inflow and ended loans up to `now`; a time that lies back changes nothing.
    pub fn settle(&mut self, now: Time, schedule: &Schedule) {
        while let Some(loan) = self.lent.front().copied().filter(|loan| loan.until <= now) {
            // The capacity is smaller until the loan ends, so the steps must not be merged.
            self.fill(loan.until, schedule);
            self.lent_sum = self.lent_sum.minus(loan.amount);
            self.lent.pop_front();
        }
        self.fill(now, schedule);
        self.borrowed.retain(|loan| loan.until > now);
    }

    /// Returns the tokens that can be used, as of the last settling.
    pub fn available(&self) -> Amount {
        self.borrowed
            .iter()
            .fold(self.tokens, |sum, loan| sum.plus(loan.amount))
    }

    /// Returns the tokens that can be lent, as of the last settling.
    pub fn own(&self) -> Amount {
        self.tokens
    }

    /// Tells whether a loan given has not ended yet.
    pub fn has_lent(&self) -> bool {
        !self.lent.is_empty()
    }

    /// Uses tokens, borrowed ones first; the caller has seen that they are available.
    pub fn take(&mut self, cost: Amount) {
        let mut rest = cost;
        while let Some(loan) = self.borrowed.front_mut() {
            let part = rest.min(loan.amount);
            loan.amount = loan.amount.minus(part);
            rest = rest.minus(part);
            if loan.amount > Amount::ZERO {
                break;
            }
            self.borrowed.pop_front();
        }
        assert!(rest <= self.tokens, "more tokens used than available");
        self.tokens = self.tokens.minus(rest);
    }

    /// Takes tokens out for a loan that ends at `until`.
    pub fn lend(&mut self, amount: Amount, until: Time) {
        assert!(amount <= self.tokens, "more tokens lent than owned");
        self.tokens = self.tokens.minus(amount);
        self.lent_sum = self.lent_sum.plus(amount);
        let place = self.lent.partition_point(|loan| loan.until <= until);
        self.lent.insert(place, Timed { until, amount });
    }

    /// Puts a received loan in; what exceeds the own capacity is usable before `until` only.
    pub fn receive(&mut self, now: Time, schedule: &Schedule, amount: Amount, until: Time) {
        self.settle(now, schedule);
        let part = amount.min(self.room(schedule.held(self.at)).minus(self.tokens));
        self.tokens = self.tokens.plus(part);
        let rest = amount.minus(part);
        if rest > Amount::ZERO && until > self.at {
            self.borrowed.push_back(Timed {
                until,
                amount: rest,
            });
        }
    }

    /// Returns what the slices in `held` can hold.
    pub fn capacity(&self, held: u64) -> Amount {
        self.portion.capacity(held)
    }

    /// Returns what the slices in `held` receive in `micros` microseconds.
    pub fn inflow(&self, held: u64, micros: u64) -> Amount {
        self.portion.inflow(held, micros)
    }

    /// Returns how long the slices in `held` take to receive an amount.
    pub fn time_to(&self, held: u64, amount: Amount) -> Span {
        let each = self.inflow(held, 1).raw();
        if each == 0 {
            return Span::from_secs(60);
        }
        Span::from_micros(amount.raw().div_ceil(each))
    }

    /// Fills new slices at once: the fault of `Policy::start_full`.
    pub fn credit(&mut self, slices: u64) {
        self.tokens = self.tokens.plus(self.capacity(slices));
    }

    fn fill(&mut self, end: Time, schedule: &Schedule) {
        if let Some((next, at)) = self.next
            && at <= end
        {
            self.fill_evenly(at, schedule);
            self.portion = next;
            self.next = None;
        }
        self.fill_evenly(end, schedule);
    }

    fn fill_evenly(&mut self, end: Time, schedule: &Schedule) {
        self.step(end.min(schedule.full_until), schedule.full);
        if end >= schedule.full_until {
            self.step(end.min(schedule.pinned_until), schedule.pinned);
        }
        if end >= schedule.pinned_until {
            self.step(end, 0);
        }
    }

    fn step(&mut self, end: Time, held: u64) {
        let micros = end.since(self.at).as_micros();
        let inflow = self.inflow(held, micros);
        self.at = self.at.max(end);
        self.tokens = self.tokens.plus(inflow).min(self.room(held));
    }

    fn room(&self, held: u64) -> Amount {
        self.capacity(held).minus(self.lent_sum)
    }
}
