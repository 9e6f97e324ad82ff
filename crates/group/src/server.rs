//! One server of the group, as this instance observes it.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;
use endpoint::Role;
use endpoint::Status;

use crate::Failure;
use crate::Policy;

/// The number of terms for which a server's positions are kept.
const TERMS_KEPT: usize = 4;

/// The silence timeout of a slow server, in multiples of its slowest recent response.
const SLOW_FACTOR: u64 = 3;

/// The limit of the extended timeout, in multiples of `Policy::silence_timeout`.
const SLOW_LIMIT: u64 = 4;

/// The observed state of one server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) zone: Arc<str>,
    /// The result of the latest query by start; its term never decreases.
    pub(crate) status: Option<Status>,
    /// When the query that returned `status` started.
    pub(crate) started: Time,
    /// When the last response of any kind arrived.
    pub(crate) answered: Time,
    /// The duration of the slowest recent status query; decays with each response.
    slowest: Span,
    /// Whether the server has refused a connection since its last response.
    refused: bool,
    /// The highest offset that the server reported as received, for each of its last terms.
    held: BTreeMap<u64, u64>,
    /// The start of the latest confirmed query of the primary whose position this server has
    /// applied.
    pub(crate) fresh_at: Option<Time>,
}

impl Server {
    pub(crate) fn new(zone: Arc<str>) -> Self {
        Self {
            zone,
            status: None,
            started: Time::ZERO,
            answered: Time::ZERO,
            slowest: Span::ZERO,
            refused: false,
            held: BTreeMap::new(),
            fresh_at: None,
        }
    }

    /// Applies a status; returns false if its term is lower than the server's last one.
    pub(crate) fn on_status(&mut self, now: Time, started: Time, status: Status) -> bool {
        self.on_answer(now);
        let decayed = Span::from_micros(self.slowest.as_micros() / 8 * 7);
        self.slowest = decayed.max(now.since(started));
        if self.status.is_some() && started < self.started {
            return true;
        }
        if status.received.term < self.received().term {
            return false;
        }
        if self
            .status
            .is_some_and(|known| status.applied < known.applied)
        {
            // A replica may have applied less after its restart than it reported before.
            self.fresh_at = None;
        }
        self.status = Some(status);
        self.started = started;
        let offset = self.held.entry(status.received.term).or_default();
        *offset = status.received.offset.max(*offset);
        while self.held.len() > TERMS_KEPT {
            self.held.pop_first();
        }
        true
    }

    /// Records a response of any kind.
    pub(crate) fn on_answer(&mut self, now: Time) {
        self.answered = self.answered.max(now);
        self.refused = false;
    }

    pub(crate) fn on_failure(&mut self, failure: Failure) {
        if failure == Failure::Refused {
            self.refused = true;
        }
    }

    /// Returns the last received position, or the lowest position before the first status.
    pub(crate) fn received(&self) -> Position {
        self.status
            .map(|status| status.received)
            .unwrap_or_default()
    }

    /// Returns true if the server, at the position's term, has received `position`.
    pub(crate) fn holds(&self, position: Position) -> bool {
        self.status.is_some()
            && self.received().term == position.term
            && self.received() >= position
    }

    /// Returns true if the server had ever received `position` while at the position's term.
    pub(crate) fn has_held(&self, position: Position) -> bool {
        let offset = self.held.get(&position.term);
        offset.is_some_and(|offset| *offset >= position.offset)
    }

    /// Returns true if the server last reported to be the primary of `term`.
    pub(crate) fn is_primary_of(&self, term: u64) -> bool {
        self.status
            .is_some_and(|status| status.role == Role::Primary && status.received.term == term)
    }

    /// Returns true if the server last reported to be a replica.
    pub(crate) fn is_replica(&self) -> bool {
        self.status
            .is_some_and(|status| status.role == Role::Replica)
    }

    /// Returns true if the server has responded recently and not refused a connection since.
    pub(crate) fn is_answering(&self, now: Time, policy: &Policy) -> bool {
        !self.refused && self.status.is_some() && now.since(self.answered) <= policy.silence_timeout
    }

    /// Returns true if the server has not responded for too long, counted from `from` at the
    /// earliest.
    pub(crate) fn is_suspect(&self, now: Time, from: Time, policy: &Policy) -> bool {
        now.since(self.answered.max(from)) > self.tolerance(policy)
    }

    /// Returns how long the server may stay without a response before it is suspected.
    pub(crate) fn tolerance(&self, policy: &Policy) -> Span {
        if self.refused {
            return policy.refusal_timeout;
        }
        let slow = Span::from_micros(self.slowest.as_micros().saturating_mul(SLOW_FACTOR));
        let limit = Span::from_micros(
            policy
                .silence_timeout
                .as_micros()
                .saturating_mul(SLOW_LIMIT),
        );
        slow.min(limit).max(policy.silence_timeout)
    }
}
