//! One server of the group, as this instance knows it.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;
use endpoint::Role;
use endpoint::Status;

use crate::Failure;
use crate::Policy;

/// For how many terms the positions that a server held are remembered.
const TERMS_KEPT: usize = 4;

/// A slow server is given this many times its slowest recent answer.
const SLOW_FACTOR: u64 = 3;

/// The longest silence that is put down to slowness, in multiples of `Policy::silence_timeout`.
const SLOW_LIMIT: u64 = 4;

/// What is known of one server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) zone: Arc<str>,
    /// The answer to the query that was begun latest; its term never falls.
    pub(crate) status: Option<Status>,
    /// When the query behind `status` was begun.
    pub(crate) started: Time,
    /// When the last answer of any kind came.
    pub(crate) answered: Time,
    /// The slowest recent status query; decays with each answer.
    slowest: Span,
    /// Whether the server refused since its last answer.
    refused: bool,
    /// The highest offset that the server was seen to hold in each of its last terms.
    held: BTreeMap<u64, u64>,
    /// The start of the latest confirmed query of the primary that this server has applied.
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

    /// Takes a status; returns false if it claims a lower term than the server had.
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
        self.status = Some(status);
        self.started = started;
        let offset = self.held.entry(status.received.term).or_default();
        *offset = status.received.offset.max(*offset);
        while self.held.len() > TERMS_KEPT {
            self.held.pop_first();
        }
        true
    }

    /// Takes note of any answer.
    pub(crate) fn on_answer(&mut self, now: Time) {
        self.answered = self.answered.max(now);
        self.refused = false;
    }

    pub(crate) fn on_failure(&mut self, failure: Failure) {
        if failure == Failure::Refused {
            self.refused = true;
        }
    }

    /// Returns the last received position, or the lowest one before the first status.
    pub(crate) fn received(&self) -> Position {
        self.status
            .map(|status| status.received)
            .unwrap_or_default()
    }

    /// Says whether the server is known to hold `position` while at its term.
    pub(crate) fn holds(&self, position: Position) -> bool {
        self.status.is_some()
            && self.received().term == position.term
            && self.received() >= position
    }

    /// Says whether the server was ever seen to hold `position` while at its term.
    pub(crate) fn has_held(&self, position: Position) -> bool {
        let offset = self.held.get(&position.term);
        offset.is_some_and(|offset| *offset >= position.offset)
    }

    /// Says whether the server is the primary of `term`.
    pub(crate) fn is_primary_of(&self, term: u64) -> bool {
        self.status
            .is_some_and(|status| status.role == Role::Primary && status.received.term == term)
    }

    /// Says whether the server last reported that it follows a primary.
    pub(crate) fn is_replica(&self) -> bool {
        self.status
            .is_some_and(|status| status.role == Role::Replica)
    }

    /// Says whether the server answered lately.
    pub(crate) fn is_answering(&self, now: Time, policy: &Policy) -> bool {
        !self.refused && self.status.is_some() && now.since(self.answered) <= policy.silence_timeout
    }

    /// Says whether the server was silent for too long, counted from `from` at the earliest.
    pub(crate) fn is_suspect(&self, now: Time, from: Time, policy: &Policy) -> bool {
        now.since(self.answered.max(from)) > self.tolerance(policy)
    }

    /// Returns how long the server may be silent.
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
