//! How the service misbehaves.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

/// The faults that are switched on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Switches {
    /// Nothing is served; callers get status 503 at once.
    pub down: bool,
    /// Nothing is served while `down`, and callers get no answer until it is over.
    pub hang: bool,
    /// Milliseconds that every call takes longer, before it takes effect.
    pub slow_ms: u64,
    /// Share of changes whose answer is lost after they took effect, from 0 to 1.
    pub lose_answers: f64,
    /// Milliseconds until a change of the roster can be seen.
    pub roster_lag_ms: u64,
}

/// Draws which answers are lost.
pub(super) struct Dice {
    random: StdRng,
}

impl Dice {
    pub(super) fn open(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
        }
    }

    pub(super) fn loses(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability.clamp(0.0, 1.0))
    }
}
