//! Choice of the peers from which an instance borrows tokens of one account.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::rate::Amount;
use crate::rate::Loan;
use crate::rate::Policy;
use crate::rate::Schedule;
use crate::rate::account::MIN_TOKENS;
use crate::rate::bucket::Bucket;
use crate::rate::hash::hash;

/// Time after which a borrow without an answer no longer keeps a request from asking another peer:
/// several round trips between zones.
const ANSWER_TIME_MAX: Span = Span::from_millis(8);

/// A borrow that was sent and is not answered yet.
#[derive(Clone, Debug)]
struct Pending {
    peer: Arc<str>,
    started: Time,
}

/// The peers that may lend tokens, with the slices that each holds, as a mask; `None` if its row was
/// not in the last read. All accounts share it.
pub(super) type Directory = BTreeMap<Arc<str>, Option<u64>>;

/// What is known about a peer's tokens of the account.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// What it could still lend after its last answer; `None` before the first answer.
    spare: Option<Amount>,
    /// Time of the last answer.
    answered_at: Time,
    /// End of the backoff; no borrow is sent to it before this time.
    not_before: Time,
    /// Number of pending borrows; above one only if an earlier one expired.
    pending: u32,
    /// Number of consecutive loans of zero tokens.
    empty_loans: u32,
}

/// The peers that may lend tokens, and how much each is expected to lend.
#[derive(Clone, Debug, Default)]
pub(super) struct Lenders {
    directory: Arc<Directory>,
    /// The peers that were asked before; the others are in their default state.
    peers: BTreeMap<Arc<str>, Peer>,
    pending: BTreeMap<u64, Pending>,
    /// Id of the last borrow.
    last_borrow_id: u64,
}

impl Lenders {
    /// Sets the peers that may lend tokens.
    pub fn set_directory(&mut self, directory: &Arc<Directory>) {
        self.peers.retain(|name, _| directory.contains_key(name));
        self.directory = Arc::clone(directory);
    }

    /// Returns whether there are no peers.
    pub fn is_empty(&self) -> bool {
        self.directory.is_empty()
    }

    /// Returns the number of peers.
    pub fn count(&self) -> usize {
        self.directory.len()
    }

    /// Returns whether no borrow is pending.
    pub fn has_no_pending(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns whether the answers to all pending borrows take unusually long.
    pub fn is_overdue(&self, now: Time) -> bool {
        let newest = self.pending.values().map(|pending| pending.started).max();
        newest.is_some_and(|started| now >= started + ANSWER_TIME_MAX)
    }

    /// Records a borrow that is being sent.
    pub fn on_borrow(&mut self, now: Time, id: u64, peer: &Arc<str>) {
        let pending = Pending {
            peer: Arc::clone(peer),
            started: now,
        };
        self.pending.insert(id, pending);
        self.last_borrow_id = id;
        if self.directory.contains_key(peer) {
            self.peers.entry(Arc::clone(peer)).or_default().pending += 1;
        }
    }

    /// Handles a loan; returns when its borrow was sent, or `None` if that is not pending.
    pub fn on_loan(
        &mut self,
        now: Time,
        policy: &Policy,
        bucket: &Bucket,
        from: &str,
        loan: &Loan,
    ) -> Option<Time> {
        let pending = self.pending.get(&loan.borrow_id);
        let started = pending.filter(|pending| &*pending.peer == from)?.started;
        if !policy.repeat_loans {
            self.pending.remove(&loan.borrow_id);
        }
        let Some(peer) = self.peers.get_mut(from) else {
            return Some(started);
        };
        peer.pending = peer.pending.saturating_sub(1);
        peer.spare = Some(loan.spare);
        peer.answered_at = now;
        if loan.amount > Amount::ZERO {
            peer.empty_loans = 0;
            return Some(started);
        }
        let doublings = peer.empty_loans.min(policy.empty_doublings);
        let backoff = Span::from_micros(policy.empty_backoff.as_micros() << doublings);
        peer.empty_loans = peer.empty_loans.saturating_add(1);
        // The backoff ends at the latest once the peer has refilled a token.
        let slices = self.directory.get(from).copied().flatten();
        let refill = slices.map_or(backoff, |slices| {
            bucket.refill_time(slices, MIN_TOKENS.saturating_sub(loan.spare))
        });
        peer.not_before = now + backoff.min(refill.max(policy.empty_backoff));
        Some(started)
    }

    /// Expires borrows that were not answered in time, and backs off from their peers.
    pub fn expire(&mut self, now: Time, policy: &Policy) {
        let peers = &mut self.peers;
        self.pending.retain(|_, pending| {
            let is_pending = now < pending.started + policy.loan;
            if !is_pending && let Some(peer) = peers.get_mut(&pending.peer) {
                peer.pending = peer.pending.saturating_sub(1);
                peer.not_before = now + policy.silence_backoff;
            }
            is_pending
        });
    }

    /// Returns how much to borrow from which peers to obtain `missing` tokens.
    pub fn choose(
        &self,
        now: Time,
        policy: &Policy,
        bucket: &Bucket,
        missing: Amount,
        is_short: bool,
    ) -> Vec<(Arc<str>, Amount)> {
        let pending: u32 = self.peers.values().map(|peer| peer.pending).sum();
        let free_borrows = policy
            .max_borrows
            .saturating_sub(usize::try_from(pending).unwrap_or(usize::MAX));
        // A peer about which nothing is known may have any number of tokens.
        let unknown = Amount::from_tokens(u64::MAX);
        let mut ready: Vec<(Amount, &Arc<str>)> = self
            .states()
            .filter(|(_, _, peer)| peer.pending == 0 && peer.not_before <= now)
            .map(|(name, slices, peer)| {
                let expected = expected(now, bucket, slices, &peer);
                (expected.unwrap_or(unknown), name)
            })
            .filter(|(expected, _)| *expected > Amount::ZERO)
            .collect();
        // Ties are broken by a hash that changes with every borrow, so that instances do not all
        // choose the same peer.
        ready.sort_by_cached_key(|(expected, name)| {
            Reverse((*expected, hash((name, self.last_borrow_id))))
        });
        ready.truncate(free_borrows);
        let Some((best, _)) = ready.first() else {
            return Vec::new();
        };
        // One peer is enough; loans of further peers would expire unused.
        if missing <= MIN_TOKENS || (*best >= missing && *best < unknown) {
            ready.truncate(1);
        }
        // While requests wait, borrows twice the equal part, since some peers may lend less.
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

    /// Returns the sum that all peers outside of a backoff are expected to lend.
    pub fn expected_loans(&self, now: Time, bucket: &Bucket, schedule: &Schedule) -> Amount {
        let full = bucket.capacity(!schedule.held(now));
        let count = u64::try_from(self.directory.len()).unwrap_or(u64::MAX);
        let even = Amount::from_raw(full.raw() / count.max(1));
        self.states()
            .filter(|(_, _, peer)| peer.not_before <= now)
            .map(|(_, slices, peer)| expected(now, bucket, slices, &peer).unwrap_or(even))
            .fold(Amount::ZERO, Amount::saturating_add)
            .min(full)
    }

    /// Returns all peers, each with the slices that it holds and what is known about its tokens.
    fn states(&self) -> impl Iterator<Item = (&Arc<str>, Option<u64>, Peer)> {
        self.directory.iter().map(|(name, slices)| {
            let peer = self.peers.get(name).copied().unwrap_or_default();
            (name, *slices, peer)
        })
    }
}

/// Returns what a peer is expected to lend; `None` if nothing is known about it.
fn expected(now: Time, bucket: &Bucket, slices: Option<u64>, peer: &Peer) -> Option<Amount> {
    let Some(slices) = slices else {
        // If it had nothing to lend, it may have acquired slices since.
        return peer.spare.filter(|spare| *spare > Amount::ZERO);
    };
    let capacity = bucket.capacity(slices);
    let Some(spare) = peer.spare else {
        return Some(capacity);
    };
    let micros = now.since(peer.answered_at).as_micros();
    let refill = bucket.refill(slices, micros);
    Some(spare.saturating_add(refill).min(capacity))
}
