//! When a primary is to be replaced.

use clock::Span;
use clock::Time;

/// A leader without proof for this long is suspected; it is asked every 300 ms.
const UNPROVEN: Span = Span::from_millis(650);
/// A leader that answered anything this recently is not suspected of being dead.
const SILENT: Span = Span::from_millis(500);
/// Without a known leader for this long one is made; a promotion elsewhere takes less.
const LEADERLESS: Span = Span::from_millis(1_800);
/// After a try, or after peers vouched for the leader, the next one is this far off.
const BACKOFF: Span = Span::from_millis(500);

/// Why a primary is to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// It is about to leave.
    Leaving,
    /// It does not answer.
    Silent,
    /// It answers, but commits don't end.
    Stuck,
    /// No server leads.
    Missing,
    /// It leads, but an instance died while it replaced an earlier one.
    Unfinished,
}

/// What is seen of a leader at a moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sight {
    /// Whether a leader is known.
    pub is_known: bool,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// When it last proved to lead.
    pub proven: Time,
    /// When it last answered anything.
    pub heard: Time,
    /// Whether commits that were sent to it don't end.
    pub is_stuck: bool,
}

/// When a primary is to be replaced.
#[derive(Clone, Copy, Debug, Default)]
pub struct Suspicion {
    /// Since when no leader has been known.
    missing_since: Option<Time>,
    /// No try before then.
    next_try: Time,
}

impl Suspicion {
    /// Looks at the leader; returns why it is to be replaced.
    pub fn step(&mut self, now: Time, sight: &Sight) -> Option<Reason> {
        if sight.is_known {
            self.missing_since = None;
        } else if self.missing_since.is_none() {
            self.missing_since = Some(now);
        }
        if now < self.next_try {
            return None;
        }
        if !sight.is_known {
            let is_long = self
                .missing_since
                .is_some_and(|since| now >= since + LEADERLESS);
            return is_long.then_some(Reason::Missing);
        }
        if sight.is_leaving {
            return Some(Reason::Leaving);
        }
        if sight.is_stuck {
            return Some(Reason::Stuck);
        }
        let is_silent = now >= sight.proven + UNPROVEN && now >= sight.heard + SILENT;
        is_silent.then_some(Reason::Silent)
    }

    /// Notes that a try ended.
    pub fn on_tried(&mut self, now: Time) {
        self.next_try = now + BACKOFF;
    }
}
