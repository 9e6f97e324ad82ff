//! Who leads a group, and how far its log is known to have come.

use std::collections::VecDeque;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;

/// Samples closer together than this are not kept.
const SAMPLE_SPACING: Span = Span::from_millis(20);
/// Samples that are kept; at the spacing above they reach back over five seconds, twice the
/// largest staleness bound in use.
const SAMPLES_KEPT: usize = 256;

/// A position of a proven leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// When the request was sent whose answer carried the position.
    ///
    /// Every commit acknowledged before this time is at or before `position`.
    pub sent: Time,
    /// The leader's position.
    pub position: Position,
}

/// What one instance knows of a group's leader.
///
/// Only answers that a server can give while it leads count as proof.
#[derive(Clone, Debug, Default)]
pub struct Leadership {
    /// The newest term that was proven; it never decreases.
    term: u64,
    /// The leader, `None` while it is not known.
    server: Option<Arc<str>>,
    /// The server that was proven last, also after it was deposed.
    last_server: Option<Arc<str>>,
    /// Samples of `last_server`, oldest first.
    samples: VecDeque<Sample>,
    /// The highest position of a commit that was acknowledged here.
    acknowledged: Position,
    /// When the latest acknowledged commit was sent.
    committed: Time,
    /// When the leader was last proven to lead, by the time of the request.
    proven: Time,
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

    /// Returns when the request was sent whose answer last proved the leader.
    pub fn proven(&self) -> Time {
        self.proven
    }

    /// Returns the highest position of a commit that was acknowledged here.
    pub fn acknowledged(&self) -> Position {
        self.acknowledged
    }

    /// Takes an answer that only a leader gives; returns whether the leader is a new one.
    pub fn on_proof(&mut self, sent: Time, server: &Arc<str>, position: Position) -> bool {
        let is_other = self.last_server.as_ref() != Some(server);
        if position.term < self.term || (is_other && sent < self.proven) {
            // An answer that was under way while another server took over.
            return false;
        }
        let is_new = self.server.as_ref() != Some(server) || position.term > self.term;
        if is_other || position.term > self.term {
            // Records that were not acknowledged may be gone from the new leader's log. Its
            // positions stay in the earlier term until its first commit.
            self.samples.clear();
            self.term = position.term;
        }
        self.server = Some(Arc::clone(server));
        self.last_server = Some(Arc::clone(server));
        self.proven = self.proven.max(sent);
        let is_due = self
            .samples
            .back()
            .is_none_or(|last| sent >= last.sent + SAMPLE_SPACING && position >= last.position);
        if is_due {
            self.samples.push_back(Sample { sent, position });
        }
        if self.samples.len() > SAMPLES_KEPT {
            self.samples.pop_front();
        }
        is_new
    }

    /// Returns when the latest acknowledged commit was sent.
    pub fn committed(&self) -> Time {
        self.committed
    }

    /// Takes note of an acknowledged commit that was sent at `sent`.
    pub fn on_acknowledged(&mut self, sent: Time, position: Position) {
        self.committed = self.committed.max(sent);
        self.acknowledged = self.acknowledged.max(position);
    }

    /// Takes note that a server does not lead; returns whether it was taken for the leader.
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

    /// Returns a position that the leader's log has and that covers an acknowledged commit whose
    /// answer carried `seen`.
    ///
    /// The answer may have shown later records too, which were not acknowledged and are gone if
    /// the leader was replaced since. The first position of a later leader covers the commit.
    pub fn covering_position(&self, seen: Position) -> Option<Position> {
        let first = self.samples.front()?.position;
        let newest = self.samples.back()?.position;
        if seen.term < newest.term {
            return Some(first);
        }
        Some(seen)
    }
}
