//! Whether a server gets its full part of the reads.

use clock::Span;
use clock::Time;

/// Minimum time as an outlier; doubled with each time in a row.
const OUTLIER_TIME: Span = Span::from_secs(2);
/// Maximum number of doublings, for 16 s.
const DOUBLINGS_MAX: u32 = 3;
/// How long each step of the recovery takes.
const STEP_TIME: Span = Span::from_secs(1);
/// The parts of the normal reads that a recovering server gets, one a step. A server that starts with
/// full load after an outage often fails again.
const STEP_SHARES: [f64; 3] = [0.125, 0.25, 0.5];
/// After this time without a relapse, the next outlier time is the shortest one again.
const RELAPSE_TIME: Span = Span::from_secs(30);

/// The state of a server in the placement of reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// It gets its full part.
    Normal,
    /// It fails more requests or is slower than the others, and gets probes only.
    Outlier,
    /// It gets a growing part.
    Recovering,
}

/// The state of a server and when it may change.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    state: State,
    /// The step of the recovery.
    step: usize,
    /// When the outlier time, the step or the memory of relapses ends.
    until: Time,
    /// How often in a row the server became an outlier.
    spells: u32,
}

impl Default for Standing {
    fn default() -> Self {
        Self {
            state: State::Normal,
            step: 0,
            until: Time::ZERO,
            spells: 0,
        }
    }
}

impl Standing {
    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the part of its normal reads that the server gets without regard to its record.
    pub fn share(&self) -> f64 {
        match self.state {
            State::Normal => 1.0,
            State::Outlier => 0.0,
            State::Recovering => STEP_SHARES[self.step],
        }
    }

    /// Applies whether the server fails the test for becoming an outlier, and the easier one for
    /// remaining one; returns whether the state changed.
    pub fn step(&mut self, now: Time, is_outlier: bool, remains_outlier: bool) -> bool {
        let before = self.state;
        match self.state {
            State::Normal | State::Recovering if is_outlier => self.enter(now),
            State::Normal => {
                if now >= self.until {
                    self.spells = 0;
                }
            }
            State::Outlier => {
                if now >= self.until && !remains_outlier {
                    self.state = State::Recovering;
                    self.step = 0;
                    self.until = now + STEP_TIME;
                }
            }
            State::Recovering => {
                if now >= self.until && self.step + 1 < STEP_SHARES.len() {
                    self.step += 1;
                    self.until = now + STEP_TIME;
                } else if now >= self.until {
                    self.state = State::Normal;
                    self.until = now + RELAPSE_TIME;
                }
            }
        }
        assert!(self.step < STEP_SHARES.len());
        self.state != before
    }

    fn enter(&mut self, now: Time) {
        let doublings = self.spells.min(DOUBLINGS_MAX);
        self.state = State::Outlier;
        self.until = now + Span::from_millis(OUTLIER_TIME.as_millis() << doublings);
        self.spells += 1;
    }
}
