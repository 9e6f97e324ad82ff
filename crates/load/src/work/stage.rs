//! What all callers of a run share.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use crate::check::Breach;
use crate::check::Violation;
use crate::deployment::Deployment;
use crate::setup::Keys;

/// The shared part of a run.
pub struct Stage {
    /// The deployment.
    pub deployment: Deployment,
    /// The accounts' keys.
    pub keys: Keys,
    /// The seed.
    pub seed: u64,
    /// When the run starts.
    pub start: Instant,
    /// Requests that were answered.
    pub answered: AtomicU64,
    /// Requests that ended otherwise.
    pub others: AtomicU64,
    violations: Mutex<Vec<Violation>>,
}

impl Stage {
    /// Opens the stage of a run that starts at `start`.
    pub fn open(deployment: Deployment, keys: Keys, seed: u64, start: Instant) -> Self {
        Self {
            deployment,
            keys,
            seed,
            start,
            answered: AtomicU64::new(0),
            others: AtomicU64::new(0),
            violations: Mutex::default(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        Instant::now().saturating_duration_since(self.start)
    }

    /// Counts a request that ended.
    pub fn count(&self, answered: bool) {
        let counter = if answered {
            &self.answered
        } else {
            &self.others
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Keeps a violation.
    pub fn violate(&self, breach: Breach, text: String) {
        let at = self.now();
        eprintln!("violation={breach} at_ms={} {text}", at.as_millis());
        let mut violations = self
            .violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        violations.push(Violation { breach, text });
    }

    /// Returns the violations so far.
    pub fn violations(&self) -> Vec<Violation> {
        let violations = self
            .violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        violations.clone()
    }
}
