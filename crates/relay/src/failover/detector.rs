//! Failure detection for primaries.

use clock::Span;
use clock::Time;

/// A leader that has not proved its leadership for this long is suspected; it is probed every
/// 300 ms.
const PROOF_TIMEOUT: Span = Span::from_millis(650);
/// A leader that answered any request within this time is not suspected.
const ANSWER_TIMEOUT: Span = Span::from_millis(500);
/// If no leader is known for this long, one is promoted; a promotion by another instance takes
/// less.
const LEADERLESS_TIMEOUT: Span = Span::from_millis(1_800);
/// Minimum pause after an attempt, or after peers confirmed the leader.
const ATTEMPT_BACKOFF: Span = Span::from_millis(500);

/// Why a primary must be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The primary is about to leave.
    Leaving,
    /// The primary's zone is evacuated.
    Evacuated,
    /// The primary does not answer.
    Silent,
    /// The primary answers, but commits to it don't complete.
    Stuck,
    /// No leader is known.
    Missing,
    /// A primary leads, but an instance died during an earlier failover and left it unfinished.
    Unfinished,
}

/// What this instance observes of a leader at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observation {
    /// Whether a leader is known.
    pub is_known: bool,
    /// Whether an earlier run of this instance ended while it replaced the leader, so that nobody
    /// else goes on with that for now.
    pub is_abandoned: bool,
    /// Whether the leader is about to leave.
    pub is_leaving: bool,
    /// Whether its zone is evacuated.
    pub is_evacuated: bool,
    /// When it last proved its leadership.
    pub proven_at: Time,
    /// When it last answered any request.
    pub replied_at: Time,
    /// Whether commits sent to it don't complete.
    pub is_stuck: bool,
}

/// Decides when a primary must be replaced.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    /// When the leader became unknown.
    missing_since: Option<Time>,
    /// The earliest time of the next attempt.
    next_attempt: Time,
}

impl Reason {
    /// Returns whether the primary still answers and is asked to step down.
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Leaving | Self::Evacuated)
    }
}

impl Detector {
    /// Evaluates an observation; returns the reason if the primary must be replaced now.
    pub fn step(&mut self, now: Time, observation: &Observation) -> Option<Reason> {
        if observation.is_known {
            self.missing_since = None;
        } else if self.missing_since.is_none() {
            self.missing_since = Some(now);
        }
        if now < self.next_attempt {
            return None;
        }
        if !observation.is_known {
            let is_long = self
                .missing_since
                .is_some_and(|since| now >= since + LEADERLESS_TIMEOUT);
            return (is_long || observation.is_abandoned).then_some(Reason::Missing);
        }
        if observation.is_leaving {
            return Some(Reason::Leaving);
        }
        if observation.is_stuck {
            return Some(Reason::Stuck);
        }
        let is_silent = now >= observation.proven_at + PROOF_TIMEOUT
            && now >= observation.replied_at + ANSWER_TIMEOUT;
        if is_silent {
            // The failure may be why the zone is evacuated. A planned replacement would wait for the
            // primary's demotion.
            return Some(Reason::Silent);
        }
        observation.is_evacuated.then_some(Reason::Evacuated)
    }

    /// Delays the next attempt after one has ended.
    pub fn on_attempt_ended(&mut self, now: Time) {
        self.next_attempt = now + ATTEMPT_BACKOFF;
    }
}
