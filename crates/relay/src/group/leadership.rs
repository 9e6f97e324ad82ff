//! What is known of a group's leader and of the end of its log.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;

use crate::group::Proof;

/// Minimum time between two samples.
const SAMPLE_SPACING: Span = Span::from_millis(20);
/// Maximum number of samples; at the spacing above they cover more than five seconds, twice the
/// largest staleness bound in use.
const SAMPLES_KEPT: usize = 256;

/// A position reported by a proven leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// When the request was sent whose reply carried the position.
    ///
    /// Every commit acknowledged before this time is at or before `position`.
    pub sent: Time,
    /// The leader's position.
    pub position: Position,
}

/// What one instance knows of a group's leader.
///
/// Only replies that a server can give solely while it leads count as proof.
#[derive(Clone, Debug, Default)]
pub struct Leadership {
    /// The newest term that a leader showed; it never decreases.
    term: u64,
    /// The term in which the log of `last_server` ends. It is lower than `term` if an earlier leader
    /// showed records that no commit needed and that the present one lacks.
    log_term: u64,
    /// The newest term in which the log of an earlier leader ended.
    ///
    /// Invariant: every commit in a term up to this one, other than `log_term`, precedes the first of
    /// `samples`.
    ended_term: u64,
    /// The latest reign of an accepted proof, where proofs name one.
    reign: u64,
    /// The leader; `None` while it is unknown.
    server: Option<Arc<str>>,
    /// The last proven leader, even if it was found not to lead since.
    last_server: Option<Arc<str>>,
    /// The highest position that `last_server` showed in `log_term`.
    shown: Position,
    /// Samples of `last_server`, oldest first.
    samples: VecDeque<Sample>,
    /// The highest position of a commit acknowledged through this instance.
    acknowledged: Position,
    /// When the latest acknowledged commit was sent.
    committed_at: Time,
    /// When the request was sent whose reply last proved a leader.
    proven_at: Time,
    /// When the last accepted proof was received.
    received_at: Time,
}

impl Leadership {
    /// Returns the leader.
    pub fn server(&self) -> Option<&Arc<str>> {
        self.server.as_ref()
    }

    /// Returns the newest term that a leader showed, which the present leader's log may lack.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the leader and its newest sample.
    pub fn latest(&self) -> Option<(Arc<str>, Sample)> {
        let server = self.server.as_ref()?;
        Some((Arc::clone(server), *self.samples.back()?))
    }

    /// Returns when the request was sent whose reply last proved a leader.
    pub fn proven_at(&self) -> Time {
        self.proven_at
    }

    /// Returns the highest position of a commit acknowledged through this instance.
    pub fn acknowledged(&self) -> Position {
        self.acknowledged
    }

    /// Applies a reply that only the one leader can give; returns whether the leader or the term of
    /// its log is new.
    pub fn on_proof(&mut self, server: &Arc<str>, proof: Proof) -> bool {
        let is_new = self.on_claim(server, proof);
        self.on_sample(proof.sent, server, proof.position);
        is_new
    }

    /// Applies a reply that only a leader can give, from a server that may have been replaced before
    /// it replied; returns whether the leader or the term of its log is new.
    pub fn on_claim(&mut self, server: &Arc<str>, proof: Proof) -> bool {
        let position = proof.position;
        self.term = self.term.max(position.term);
        let is_other = self.last_server.as_ref() != Some(server);
        if !self.is_recent(is_other, proof) {
            // A late reply: another server has taken over since.
            return false;
        }
        let is_other_term = position.term != self.log_term;
        let is_rolled_back = position < self.shown && self.is_later_reign(proof);
        let is_new = self.server.as_ref() != Some(server) || is_other_term;
        if is_other || is_other_term || is_rolled_back {
            // Unacknowledged records may be missing from the new leader's log. Its positions stay
            // in an earlier term until its first commit.
            self.samples.clear();
            self.ended_term = self.ended_term.max(self.log_term);
            self.log_term = position.term;
            self.shown = Position::default();
        }
        self.shown = self.shown.max(position);
        self.reign = self.reign.max(proof.reign.unwrap_or_default());
        self.server = Some(Arc::clone(server));
        self.last_server = Some(Arc::clone(server));
        self.proven_at = self.proven_at.max(proof.sent);
        self.received_at = self.received_at.max(proof.received);
        is_new
    }

    /// Returns whether a proof is not known to precede the last accepted one.
    fn is_recent(&self, is_other: bool, proof: Proof) -> bool {
        if is_other && proof.sent < self.proven_at {
            return false;
        }
        match proof.position.term.cmp(&self.log_term) {
            Ordering::Greater => true,
            Ordering::Equal => !is_other || proof.sent >= self.received_at,
            // Records of the newer term were rolled back by a promotion since.
            Ordering::Less => self.is_later_reign(proof),
        }
    }

    /// Returns whether a proof is of a time in which the last accepted one may no longer hold.
    fn is_later_reign(&self, proof: Proof) -> bool {
        // Where replaced primaries refuse by themselves, the order of the requests tells who leads.
        let is_other_reign = proof.reign.is_none_or(|reign| reign > self.reign);
        is_other_reign && proof.sent >= self.received_at
    }

    /// Records the position in a reply to a request sent at `sent`, unless the reply is late.
    fn on_sample(&mut self, sent: Time, server: &Arc<str>, position: Position) {
        let is_leader = self.last_server.as_ref() == Some(server) && position.term == self.log_term;
        let is_sample_due = self
            .samples
            .back()
            .is_none_or(|last| sent >= last.sent + SAMPLE_SPACING && position >= last.position);
        if is_leader && is_sample_due {
            self.samples.push_back(Sample { sent, position });
        }
        if self.samples.len() > SAMPLES_KEPT {
            self.samples.pop_front();
        }
    }

    /// Returns when the latest acknowledged commit was sent.
    pub fn committed_at(&self) -> Time {
        self.committed_at
    }

    /// Records an acknowledged commit that was sent at `sent`.
    pub fn on_acknowledged(&mut self, sent: Time, position: Position) {
        self.committed_at = self.committed_at.max(sent);
        self.acknowledged = self.acknowledged.max(position);
    }

    /// Records that a server does not lead; returns whether it was considered the leader.
    pub fn on_not_leader(&mut self, server: &str) -> bool {
        let was_leader = self.server.as_deref() == Some(server);
        if was_leader {
            self.server = None;
        }
        was_leader
    }

    /// Returns the lowest known position that covers every commit acknowledged before `since`.
    pub fn floor(&self, since: Time) -> Option<Position> {
        self.samples
            .iter()
            .find(|sample| sample.sent >= since)
            .map(|sample| sample.position)
    }

    /// Returns a position in the leader's log that covers an acknowledged commit whose reply
    /// carried `seen`; `None` if no position is known, so that only the leader can be asked.
    ///
    /// `seen` may include later, unacknowledged records, which are lost if the leader was replaced
    /// since. In that case the first known position of the new leader covers the commit.
    pub fn covering_position(&self, seen: Position) -> Option<Position> {
        let first = self.samples.front()?.position;
        let newest = self.samples.back()?.position;
        let is_of_earlier_leader = seen.term <= self.ended_term;
        if seen.term < newest.term || (is_of_earlier_leader && seen.term > newest.term) {
            return Some(first);
        }
        // In a later term the record may be the leader's own or lost. In the term of the leader's log
        // it may be newer than the samples: a primary that is back under another id goes on in its term.
        (seen.term == newest.term).then_some(seen)
    }
}
