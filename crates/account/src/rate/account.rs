//! One account at one instance: its bucket, its demand and its open asks.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
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

/// Windows of demand for which tokens are fetched ahead.
const HORIZON: u64 = 2;

/// Tokens that an instance with recent demand keeps at hand.
const FLOOR: Amount = Amount::from_tokens(1);

/// Room with which an instance keeps a token for the next request; with less, which is that of a
/// slice, it would only ask others for what they keep themselves.
const KEPT: Amount = Amount::from_tokens(3);

/// An ask that was sent and is not answered yet.
#[derive(Clone, Debug)]
struct Open {
    peer: Arc<str>,
    started: Time,
}

/// What is known of a peer's tokens for the account.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// The slices that it holds; `None` if its row was not seen.
    holds: Option<u64>,
    /// What it could still lend when it last answered; `None` before that.
    spare: Option<Amount>,
    /// When it last answered.
    spare_at: Time,
    /// It is not asked before this time.
    not_before: Time,
    /// The number of its open asks, at most one unless one was given up.
    open: u32,
    /// Loans of nothing in a row.
    empties: u32,
}

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
    peers: BTreeMap<Arc<str>, Peer>,
    open: BTreeMap<u64, Open>,
    /// The number of the last ask.
    asked: u64,
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
            peers: BTreeMap::new(),
            open: BTreeMap::new(),
            asked: 0,
        }
    }

    /// Sets the instances that may be asked for loans.
    pub fn set_peers(&mut self, peers: &[Arc<str>]) {
        self.peers.retain(|name, _| peers.contains(name));
        for name in peers {
            self.peers.entry(Arc::clone(name)).or_default();
        }
    }

    /// Takes in which slices the peers hold.
    pub fn set_holders(&mut self, holders: &BTreeMap<Arc<str>, u64>) {
        for (name, peer) in &mut self.peers {
            peer.holds = holders.get(name).copied();
        }
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
    pub fn quit(&mut self, cost: Amount) {
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
        let Some(open) = self.open.get(&loan.ask).filter(|open| &*open.peer == from) else {
            return;
        };
        let until = open.started + policy.loan;
        if !policy.repeat_loans {
            self.open.remove(&loan.ask);
        }
        if let Some(peer) = self.peers.get_mut(from) {
            peer.open = peer.open.saturating_sub(1);
            peer.spare = Some(loan.spare);
            peer.spare_at = now;
            if loan.amount == Amount::ZERO {
                let doublings = peer.empties.min(policy.empty_doublings);
                let pause = policy.empty.as_micros() << doublings;
                peer.empties = peer.empties.saturating_add(1);
                let refill = peer.holds.map_or(pause, |holds| {
                    let missing = FLOOR.minus(loan.spare);
                    self.bucket.time_to(holds, missing).as_micros()
                });
                // It is asked again once it has a token, at the latest.
                let pause = pause.min(refill.max(policy.empty.as_micros()));
                peer.not_before = now + Span::from_micros(pause);
            } else {
                peer.empties = 0;
            }
        }
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
        if is_idle && self.open.is_empty() {
            return Vec::new();
        }
        self.bucket.settle(now, schedule);
        self.close_window(now, policy);
        self.close_asks(now, policy);
        self.hope = self.sum_hope(now, schedule);
        self.hope_at = now;
        self.asks(now, policy, schedule)
    }

    /// Records an ask that is being sent.
    pub fn on_ask(&mut self, now: Time, id: u64, peer: &Arc<str>) {
        let open = Open {
            peer: Arc::clone(peer),
            started: now,
        };
        self.open.insert(id, open);
        self.asked = id;
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.open += 1;
        }
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
        let under_way: u32 = self.peers.values().map(|peer| peer.open).sum();
        let more = policy
            .ask_most
            .saturating_sub(usize::try_from(under_way).unwrap_or(usize::MAX));
        // A peer of which nothing is known may have a full share.
        let full = Amount::from_tokens(u64::MAX);
        let mut ready: Vec<(Amount, &Arc<str>)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.open == 0 && peer.not_before <= now)
            .map(|(name, peer)| (self.expected(now, peer).unwrap_or(full), name))
            .filter(|(expected, _)| *expected > Amount::ZERO)
            .collect();
        // Among equal ones each ask begins with another, so that not all instances ask the same.
        ready.sort_by_key(|(expected, name)| std::cmp::Reverse((*expected, self.rank(name))));
        ready.truncate(more);
        let Some((best, _)) = ready.first() else {
            return Vec::new();
        };
        // Others would only lend tokens that are not used.
        if missing <= FLOOR || (*best >= missing && *best < full) {
            ready.truncate(1);
        }
        // Requests wait already: some peers may have less than the equal part.
        let factor = if self.is_short() && ready.len() > 1 {
            2
        } else {
            1
        };
        let count = u64::try_from(ready.len()).unwrap_or(u64::MAX);
        let missing = missing.raw();
        let part = missing.saturating_mul(factor).div_ceil(count).min(missing);
        let part = Amount::from_raw(part);
        ready
            .into_iter()
            .map(|(_, name)| (Arc::clone(name), part))
            .collect()
    }

    /// Orders peers that can be expected to lend the same; the order changes with each ask.
    fn rank(&self, peer: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        (peer, self.asked).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns what a peer can be expected to lend; `None` if nothing is known of it.
    fn expected(&self, now: Time, peer: &Peer) -> Option<Amount> {
        let Some(holds) = peer.holds else {
            return peer.spare;
        };
        let capacity = self.bucket.capacity(holds);
        let Some(spare) = peer.spare else {
            return Some(capacity);
        };
        let micros = now.since(peer.spare_at).as_micros();
        let inflow = self.bucket.inflow(holds, micros);
        Some(spare.plus(inflow).min(capacity))
    }

    /// Returns what will have come until `deadline`, by inflow and by loans.
    fn coming(&self, now: Time, schedule: &Schedule, deadline: Time) -> Amount {
        let held = schedule.held(now);
        let inflow = self.bucket.inflow(held, deadline.since(now).as_micros());
        if self.peers.is_empty() {
            return inflow;
        }
        let since = deadline.since(self.hope_at).as_micros();
        let lent = self
            .hope
            .plus(self.bucket.inflow(!held, since))
            .min(self.bucket.capacity(!held));
        inflow.plus(lent)
    }

    /// Returns what the peers that answer can be expected to lend.
    fn sum_hope(&self, now: Time, schedule: &Schedule) -> Amount {
        let others = !schedule.held(now);
        let full = self.bucket.capacity(others);
        let count = u64::try_from(self.peers.len()).unwrap_or(u64::MAX).max(1);
        let even = Amount::from_raw(full.raw() / count);
        self.peers
            .values()
            .filter(|peer| peer.not_before <= now)
            .map(|peer| self.expected(now, peer).unwrap_or(even))
            .fold(Amount::ZERO, Amount::plus)
            .min(full)
    }

    fn close_window(&mut self, now: Time, policy: &Policy) {
        if now < self.window_end {
            return;
        }
        let smoothed = (self.demand.raw() / 4) * 3 + self.counted.raw() / 4;
        self.demand = Amount::from_raw(smoothed);
        self.counted = Amount::ZERO;
        self.window_end = now + policy.window;
    }

    fn close_asks(&mut self, now: Time, policy: &Policy) {
        let peers = &mut self.peers;
        self.open.retain(|_, open| {
            let alive = now < open.started + policy.loan;
            if !alive && let Some(peer) = peers.get_mut(&open.peer) {
                peer.open = peer.open.saturating_sub(1);
                peer.not_before = now + policy.silence;
            }
            alive
        });
    }

    fn refill_time(&self, missing: Amount) -> Span {
        self.bucket.time_to(u64::MAX, missing)
    }
}
