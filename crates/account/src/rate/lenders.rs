//! Whom an instance asks for tokens of one account.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::rate::Amount;
use crate::rate::Holder;
use crate::rate::Loan;
use crate::rate::Policy;
use crate::rate::Schedule;
use crate::rate::account::FLOOR;
use crate::rate::bucket::Bucket;
use crate::rate::hash::hash;

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

/// The other instances, and what each can be expected to lend.
#[derive(Clone, Debug, Default)]
pub(super) struct Lenders {
    peers: BTreeMap<Arc<str>, Peer>,
    open: BTreeMap<u64, Open>,
    /// The number of the last ask.
    asked: u64,
}

impl Lenders {
    /// Sets the instances that may be asked, and the slices that live members hold.
    pub fn set(&mut self, peers: &[Arc<str>], members: &BTreeMap<Arc<str>, Holder>) {
        self.peers.retain(|name, _| peers.contains(name));
        for name in peers {
            let peer = self.peers.entry(Arc::clone(name)).or_default();
            peer.holds = members.get(name).map(|live| live.slices);
        }
    }

    /// Returns whether there is nobody to ask.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns whether no answer is waited for.
    pub fn has_asked_nobody(&self) -> bool {
        self.open.is_empty()
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

    /// Takes in a loan; returns when it was asked for, `None` if its ask is not open.
    pub fn on_loan(
        &mut self,
        now: Time,
        policy: &Policy,
        bucket: &Bucket,
        from: &str,
        loan: &Loan,
    ) -> Option<Time> {
        let open = self.open.get(&loan.ask);
        let started = open.filter(|open| &*open.peer == from)?.started;
        if !policy.repeat_loans {
            self.open.remove(&loan.ask);
        }
        let Some(peer) = self.peers.get_mut(from) else {
            return Some(started);
        };
        peer.open = peer.open.saturating_sub(1);
        peer.spare = Some(loan.spare);
        peer.spare_at = now;
        if loan.amount > Amount::ZERO {
            peer.empties = 0;
            return Some(started);
        }
        let doublings = peer.empties.min(policy.empty_doublings);
        let pause = Span::from_micros(policy.empty_backoff.as_micros() << doublings);
        peer.empties = peer.empties.saturating_add(1);
        // It is asked again once it has a token, at the latest.
        let refill = peer.holds.map_or(pause, |holds| {
            bucket.time_to(holds, FLOOR.minus(loan.spare))
        });
        peer.not_before = now + pause.min(refill.max(policy.empty_backoff));
        Some(started)
    }

    /// Gives up asks that were not answered.
    pub fn close(&mut self, now: Time, policy: &Policy) {
        let peers = &mut self.peers;
        self.open.retain(|_, open| {
            let is_alive = now < open.started + policy.loan;
            if !is_alive && let Some(peer) = peers.get_mut(&open.peer) {
                peer.open = peer.open.saturating_sub(1);
                peer.not_before = now + policy.silence;
            }
            is_alive
        });
    }

    /// Returns what to ask of whom to get `missing`.
    pub fn choose(
        &self,
        now: Time,
        policy: &Policy,
        bucket: &Bucket,
        missing: Amount,
        is_short: bool,
    ) -> Vec<(Arc<str>, Amount)> {
        let under_way: u32 = self.peers.values().map(|peer| peer.open).sum();
        let more = policy
            .max_borrows
            .saturating_sub(usize::try_from(under_way).unwrap_or(usize::MAX));
        // A peer of which nothing is known may have a full share.
        let full = Amount::from_tokens(u64::MAX);
        let mut ready: Vec<(Amount, &Arc<str>)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.open == 0 && peer.not_before <= now)
            .map(|(name, peer)| (expected(now, bucket, peer).unwrap_or(full), name))
            .filter(|(expected, _)| *expected > Amount::ZERO)
            .collect();
        // Among equal ones each ask begins with another, so that not all instances ask the same.
        ready.sort_by_cached_key(|(expected, name)| Reverse((*expected, hash((name, self.asked)))));
        ready.truncate(more);
        let Some((best, _)) = ready.first() else {
            return Vec::new();
        };
        // Others would only lend tokens that are not used.
        if missing <= FLOOR || (*best >= missing && *best < full) {
            ready.truncate(1);
        }
        // Requests wait already: some peers may have less than the equal part.
        let has_many = ready.len() > 1;
        let factor = if is_short && has_many { 2 } else { 1 };
        let count = u64::try_from(ready.len()).unwrap_or(u64::MAX);
        let missing = missing.raw();
        let part = missing.saturating_mul(factor).div_ceil(count).min(missing);
        let part = Amount::from_raw(part);
        ready
            .into_iter()
            .map(|(_, name)| (Arc::clone(name), part))
            .collect()
    }

    /// Returns what all peers that may be asked can be expected to lend.
    pub fn hope(&self, now: Time, bucket: &Bucket, schedule: &Schedule) -> Amount {
        let full = bucket.capacity(!schedule.held(now));
        let count = u64::try_from(self.peers.len()).unwrap_or(u64::MAX).max(1);
        let even = Amount::from_raw(full.raw() / count);
        self.peers
            .values()
            .filter(|peer| peer.not_before <= now)
            .map(|peer| expected(now, bucket, peer).unwrap_or(even))
            .fold(Amount::ZERO, Amount::plus)
            .min(full)
    }
}

/// Returns what a peer can be expected to lend; `None` if nothing is known of it.
fn expected(now: Time, bucket: &Bucket, peer: &Peer) -> Option<Amount> {
    let Some(holds) = peer.holds else {
        // It may have taken slices since it had nothing.
        return peer.spare.filter(|spare| *spare > Amount::ZERO);
    };
    let capacity = bucket.capacity(holds);
    let Some(spare) = peer.spare else {
        return Some(capacity);
    };
    let micros = now.since(peer.spare_at).as_micros();
    let inflow = bucket.inflow(holds, micros);
    Some(spare.plus(inflow).min(capacity))
}
