//! What is known of a group's leader and of the end of its log.

use std::collections::VecDeque;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;

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
    /// The newest proven term; it never decreases.
    term: u64,
    /// The leader; `None` while it is unknown.
    server: Option<Arc<str>>,
    /// The last proven leader, even if it was found not to lead since.
    last_server: Option<Arc<str>>,
    /// Samples of `last_server`, oldest first.
    samples: VecDeque<Sample>,
    /// The highest position of a commit acknowledged through this instance.
    acknowledged: Position,
    /// When the latest acknowledged commit was sent.
    committed_at: Time,
    /// When the request was sent whose reply last proved a leader.
    proven_at: Time,
}

impl Leadership {
    /// Returns the leader.
    pub fn server(&self) -> Option<&Arc<str>> {
        self.server.as_ref()
    }

    /// Returns the newest proven term.
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

    /// Applies a reply that only the one leader can give, to a request sent at `sent`; returns
    /// whether the leader or its term is new.
    pub fn on_proof(&mut self, sent: Time, server: &Arc<str>, position: Position) -> bool {
        let is_new = self.on_claim(sent, server, position);
        self.on_sample(sent, server, position);
        is_new
    }

    /// Applies a reply that only a leader can give, to a request sent at `sent`, from a server that
    /// may have been replaced before it replied; returns whether the leader or its term is new.
    pub fn on_claim(&mut self, sent: Time, server: &Arc<str>, position: Position) -> bool {
        let is_other = self.last_server.as_ref() != Some(server);
        if position.term < self.term || (is_other && sent < self.proven_at) {
            // A late reply: another server has taken over since.
            return false;
        }
        let is_new = self.server.as_ref() != Some(server) || position.term > self.term;
        if is_other || position.term > self.term {
            // Unacknowledged records may be missing from the new leader's log. Its positions stay
            // in the earlier term until its first commit.
            self.samples.clear();
            self.term = position.term;
        }
        self.server = Some(Arc::clone(server));
        self.last_server = Some(Arc::clone(server));
        self.proven_at = self.proven_at.max(sent);
        is_new
    }

    /// Records the position in a reply to a request sent at `sent`, unless the reply is late.
    fn on_sample(&mut self, sent: Time, server: &Arc<str>, position: Position) {
        let is_leader = self.last_server.as_ref() == Some(server) && position.term == self.term;
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
    /// carried `seen`; `None` if no position is known.
    ///
    /// `seen` may include later, unacknowledged records, which are lost if the leader was replaced
    /// since. In that case the first known position of the new leader covers the commit.
    pub fn covering_position(&self, seen: Position) -> Option<Position> {
        let first = self.samples.front()?.position;
        let newest = self.samples.back()?.position;
        if seen.term < newest.term {
            return Some(first);
        }
        Some(seen)
    }
}
