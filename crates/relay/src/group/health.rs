//! How a server answers.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use endpoint::Position;

/// After a server said that it has no connection left it is not asked for one for this long.
const CROWDED_PAUSE: Span = Span::from_millis(150);
/// After a failure the server is passed over for this long, doubled with each further one.
const FAILURE_PAUSE: Span = Span::from_millis(200);
/// The pause is doubled at most this often, to 1.6 s, so that a server that is back is used soon.
const DOUBLINGS_MAX: u32 = 3;
/// How long a replica that lags behind a floor is passed over before it is tried again, in
/// comparison to the lag of 20 to 60 ms of a healthy one.
const LAG_PAUSE: Span = Span::from_millis(100);

/// A commit that takes this long is stuck: a full queue of 40 statements takes under half of it.
const STUCK: Span = Span::from_millis(900);

/// How a server answers, as seen by one instance.
#[derive(Debug, Default)]
pub struct Health {
    /// When the last answer came.
    pub heard: Time,
    /// When each unanswered batch was sent, by ticket.
    outstanding: BTreeMap<u64, Time>,
    next: u64,
    /// When each commit without an answer was sent, by ticket.
    commits: BTreeMap<u64, Time>,
    /// When the last commit was answered with success.
    committed: Time,
    /// The latest position that the server answered with.
    pub applied: Position,
    /// The server is passed over until then, for it failed.
    failed_until: Time,
    /// Failures in a row to connect or to answer.
    pub failures: u32,
    /// When the last failure was.
    pub failed_at: Time,
    /// No connection is asked for until then, for the server has none left.
    crowded_until: Time,
    /// The server lacks the floors above `applied` until then, as far as is known.
    behind_until: Time,
}

impl Health {
    /// Notes that a batch is sent; the ticket ends it.
    pub fn on_sent(&mut self, now: Time) -> u64 {
        self.next += 1;
        self.outstanding.insert(self.next, now);
        self.next
    }

    /// Notes that a batch was answered or given up.
    pub fn on_end(&mut self, ticket: u64) {
        self.outstanding.remove(&ticket);
    }

    /// Notes that a commit is sent; the ticket ends it.
    pub fn on_commit_sent(&mut self, now: Time) -> u64 {
        self.next += 1;
        self.commits.insert(self.next, now);
        self.next
    }

    /// Notes that a commit was answered or given up.
    pub fn on_commit_end(&mut self, now: Time, ticket: u64, is_success: bool) {
        self.commits.remove(&ticket);
        if is_success {
            self.committed = now;
        }
    }

    /// Returns whether a commit has been waiting for long and none has ended since it was sent.
    pub fn is_stuck(&self, now: Time) -> bool {
        self.commits
            .values()
            .min()
            .is_some_and(|sent| now >= *sent + STUCK && self.committed <= *sent)
    }

    /// Notes an answer.
    pub fn on_reply(&mut self, now: Time, position: Option<Position>) {
        self.heard = now;
        self.failures = 0;
        self.failed_until = Time::ZERO;
        if let Some(position) = position {
            self.applied = self.applied.max(position);
        }
    }

    /// Notes that the server could not be reached.
    pub fn on_failure(&mut self, now: Time) {
        let doublings = self.failures.min(DOUBLINGS_MAX);
        self.failures += 1;
        self.failed_at = now;
        self.failed_until = now + Span::from_millis(FAILURE_PAUSE.as_millis() << doublings);
    }

    /// Notes that the server has no connection left.
    pub fn on_connections_exhausted(&mut self, now: Time) {
        self.crowded_until = now + CROWDED_PAUSE;
    }

    /// Returns whether a connection may be asked for.
    pub fn may_connect(&self, now: Time) -> bool {
        now >= self.crowded_until
    }

    /// Notes that the server lacks a floor.
    pub fn on_lagging(&mut self, now: Time) {
        self.behind_until = now + LAG_PAUSE;
    }

    /// Returns whether the server should get a read that needs `floor`.
    pub fn suits(&self, now: Time, floor: Position) -> bool {
        let is_behind = self.applied < floor && now < self.behind_until;
        now >= self.failed_until && !is_behind
    }

    /// Returns how many batches wait for an answer.
    pub fn waiting(&self) -> usize {
        self.outstanding.len()
    }

    /// Returns whether something was sent longer than `span` ago and nothing came since.
    pub fn is_silent(&self, now: Time, span: Span) -> bool {
        self.outstanding.values().min().is_some_and(|sent| {
            *sent + span <= now && self.heard < *sent + span && self.heard + span <= now
        })
    }
}
