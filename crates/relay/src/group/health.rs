//! The health of a server as seen by one instance.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use endpoint::Position;

use crate::balance::Record;
use crate::message::Code;

/// Pause before another connection is requested from a server that had none left.
const EXHAUSTED_PAUSE: Span = Span::from_millis(150);
/// How long a server is skipped after a failure; doubled with each consecutive failure.
const FAILURE_PAUSE: Span = Span::from_millis(200);
/// Maximum number of doublings, for a pause of 1.6 s, so that a recovered server is soon used
/// again.
const DOUBLINGS_MAX: u32 = 3;
/// How long a replica that lags behind a floor is skipped; a healthy replica lags 20 to 60 ms.
const LAG_PAUSE: Span = Span::from_millis(100);

/// Age at which an unanswered commit counts as stuck: a full queue of 40 statements takes less
/// than half of this.
const STUCK_COMMIT_AGE: Span = Span::from_millis(900);

/// The health of a server as seen by one instance.
#[derive(Debug, Default)]
pub struct Health {
    /// When the last reply arrived.
    pub replied_at: Time,
    /// When each unanswered batch was sent, by ticket.
    outstanding: BTreeMap<u64, Time>,
    next_ticket: u64,
    /// When each unanswered commit was sent, by ticket.
    pending_commits: BTreeMap<u64, Time>,
    /// When the last successful commit was answered.
    committed_at: Time,
    /// The highest position that the server has reported.
    pub applied: Position,
    /// End of the pause after a failure.
    failed_until: Time,
    /// Consecutive failures to connect or to reply.
    pub failures: u32,
    /// When the last failure occurred.
    pub failed_at: Time,
    /// End of the pause after the server had no connection left.
    exhausted_until: Time,
    /// Reply times and failures, which outlast single successes.
    pub record: Record,
    /// Until then the server is assumed not to have reached floors above `applied`.
    lagging_until: Time,
}

impl Health {
    /// Records that a batch is sent; returns a ticket for `on_end`.
    pub fn on_sent(&mut self, now: Time) -> u64 {
        self.next_ticket += 1;
        self.outstanding.insert(self.next_ticket, now);
        self.next_ticket
    }

    /// Records that a batch was answered or abandoned.
    pub fn on_end(&mut self, ticket: u64) {
        self.outstanding.remove(&ticket);
    }

    /// Records that a commit is sent; returns a ticket for `on_commit_end`.
    pub fn on_commit_sent(&mut self, now: Time) -> u64 {
        self.next_ticket += 1;
        self.pending_commits.insert(self.next_ticket, now);
        self.next_ticket
    }

    /// Records that a commit was answered or abandoned.
    pub fn on_commit_end(&mut self, now: Time, ticket: u64, is_success: bool) {
        if let Some(sent) = self.pending_commits.remove(&ticket) {
            self.record.on_commit(now, sent);
        }
        if is_success {
            self.committed_at = now;
        }
    }

    /// Returns whether the oldest pending commit is overdue and no commit has succeeded since it
    /// was sent.
    pub fn is_stuck(&self, now: Time) -> bool {
        self.pending_commits
            .values()
            .min()
            .is_some_and(|sent| now >= *sent + STUCK_COMMIT_AGE && self.committed_at <= *sent)
    }

    /// Records a reply.
    pub fn on_reply(&mut self, now: Time, position: Option<Position>) {
        self.replied_at = now;
        self.failures = 0;
        self.failed_until = Time::ZERO;
        if let Some(position) = position {
            self.applied = self.applied.max(position);
        }
    }

    /// Records the outcome of a caller's statement that was sent at `sent`.
    pub fn on_outcome(&mut self, now: Time, sent: Time, code: Option<Code>) {
        match code {
            None => self.record.on_success(now, sent),
            // A statement may be wrong itself; then it fails at all servers, which are compared.
            Some(Code::Failed | Code::Busy | Code::TooManyConnections | Code::Aborted) => {
                self.record.on_failure(now);
            }
            Some(Code::Timeout) => self.record.on_timeout(now, sent),
            Some(_) => {}
        }
    }

    /// Records a failure to reach the server.
    pub fn on_failure(&mut self, now: Time) {
        let doublings = self.failures.min(DOUBLINGS_MAX);
        self.failures += 1;
        self.record.on_failure(now);
        self.failed_at = now;
        self.failed_until = now + Span::from_millis(FAILURE_PAUSE.as_millis() << doublings);
    }

    /// Records that the server has no connection left.
    pub fn on_connections_exhausted(&mut self, now: Time) {
        self.exhausted_until = now + EXHAUSTED_PAUSE;
    }

    /// Returns whether a connection may be requested.
    pub fn may_connect(&self, now: Time) -> bool {
        now >= self.exhausted_until
    }

    /// Records that the server lags behind a floor.
    pub fn on_lagging(&mut self, now: Time) {
        self.lagging_until = now + LAG_PAUSE;
    }

    /// Returns whether the server is eligible for a read that needs `floor`.
    pub fn can_serve(&self, now: Time, floor: Position) -> bool {
        let is_lagging = self.applied < floor && now < self.lagging_until;
        now >= self.failed_until && !is_lagging
    }

    /// Returns the number of unanswered commits.
    pub fn outstanding_commits(&self) -> usize {
        self.pending_commits.len()
    }

    /// Returns the number of unanswered batches.
    pub fn outstanding_batches(&self) -> usize {
        self.outstanding.len()
    }

    /// Returns whether a batch has gone unanswered for `span` and no reply arrived within the last
    /// `span` either.
    pub fn is_silent(&self, now: Time, span: Span) -> bool {
        self.outstanding.values().min().is_some_and(|sent| {
            *sent + span <= now && self.replied_at < *sent + span && self.replied_at + span <= now
        })
    }
}
