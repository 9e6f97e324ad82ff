//! What an instance's recent requests to a server showed.

use std::time::Duration;

use clock::Span;
use clock::Time;

use crate::balance::Average;

/// Half-life of reply times and failures. With 77 instances a server gets about one read in 1.6 s
/// from each, so that about 5 of them count; the effect of an outage lasts up to 24 s.
const HALF_LIFE: Span = Span::from_secs(6);
/// Half-life of commit times and of waits for a connection, which change as fast as queues do.
const WAIT_HALF_LIFE: Span = Span::from_secs(1);

/// What an instance's recent requests to a server showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Record {
    /// Milliseconds from the sending of a request to its reply.
    replies: Average,
    /// 1 for a failed request, 0 for one that succeeded.
    failures: Average,
    /// Milliseconds from the sending of a commit to its reply.
    commits: Average,
    /// Milliseconds that requests waited for a connection or for permission to open one.
    waits: Average,
}

impl Record {
    /// Records a request that succeeded.
    pub fn on_success(&mut self, now: Time, sent: Time) {
        self.replies.add(now, HALF_LIFE, millis(now.since(sent)));
        self.failures.add(now, HALF_LIFE, 0.0);
    }

    /// Records a request that failed without telling how long the server takes.
    pub fn on_failure(&mut self, now: Time) {
        self.failures.add(now, HALF_LIFE, 1.0);
    }

    /// Records a request that was given up; the server takes at least this long.
    pub fn on_timeout(&mut self, now: Time, sent: Time) {
        self.replies.add(now, HALF_LIFE, millis(now.since(sent)));
        self.failures.add(now, HALF_LIFE, 1.0);
    }

    /// Records a commit, which takes longer than a read since it waits for replicas too.
    pub fn on_commit(&mut self, now: Time, sent: Time) {
        self.commits
            .add(now, WAIT_HALF_LIFE, millis(now.since(sent)));
    }

    /// Records how long a request waited for a connection.
    pub fn on_wait(&mut self, now: Time, begun: Time) {
        self.waits
            .add(now, WAIT_HALF_LIFE, millis(now.since(begun)));
    }

    /// Summarizes the record.
    pub fn summary(&self, now: Time) -> Summary {
        Summary {
            reply_ms: self.replies.sample_mean().unwrap_or_default(),
            replies: self.replies.weight(now, HALF_LIFE),
            failure_rate: self.failures.mean(now, HALF_LIFE, 0.0),
            requests: self.failures.weight(now, HALF_LIFE),
            commit_ms: self.commits.mean(now, WAIT_HALF_LIFE, 0.0),
            wait_ms: self.waits.mean(now, WAIT_HALF_LIFE, 0.0),
        }
    }
}

/// The averages of a record at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Mean reply time of `replies` in milliseconds; zero if there are none.
    pub reply_ms: f64,
    /// The weight of the reply times.
    pub replies: f64,
    /// Mean rate of failures, zero without requests.
    pub failure_rate: f64,
    /// The weight of the requests of which failures are a part.
    pub requests: f64,
    /// Mean time of a commit in milliseconds.
    pub commit_ms: f64,
    /// Mean wait for a connection in milliseconds.
    pub wait_ms: f64,
}

fn millis(span: Span) -> f64 {
    Duration::from(span).as_secs_f64() * 1e3
}
