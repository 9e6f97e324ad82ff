//! A moving average with decay.

use std::time::Duration;

use clock::Span;
use clock::Time;

/// Maximum weight of all samples, so that an average over many requests follows a change after as
/// many samples.
const WEIGHT_MAX: f64 = 16.0;

/// A moving average in which the weight of a sample halves at regular intervals.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    /// Sum of the samples, each with its weight at `updated`.
    sum: f64,
    /// Sum of the weights at `updated`.
    weight: f64,
    updated: Time,
}

impl Average {
    /// Adds a sample.
    pub fn add(&mut self, now: Time, half_life: Span, sample: f64) {
        let decay = self.decay(now, half_life);
        let weight = self.weight * decay + 1.0;
        let scale = (WEIGHT_MAX / weight).min(1.0);
        self.sum = (self.sum * decay + sample) * scale;
        self.weight = weight * scale;
        self.updated = self.updated.max(now);
    }

    /// Returns the weight of all samples, each of which weighed 1 at first.
    pub fn weight(&self, now: Time, half_life: Span) -> f64 {
        self.weight * self.decay(now, half_life)
    }

    /// Returns the mean; `prior` counts as one sample that never ages.
    pub fn mean(&self, now: Time, half_life: Span, prior: f64) -> f64 {
        let decay = self.decay(now, half_life);
        (self.sum * decay + prior) / (self.weight * decay + 1.0)
    }

    /// Returns the mean of the samples alone; `None` if there are none.
    pub fn sample_mean(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }

    fn decay(&self, now: Time, half_life: Span) -> f64 {
        let age = Duration::from(now.since(self.updated)).as_secs_f64();
        let half_life = Duration::from(half_life).as_secs_f64();
        (-age / half_life).exp2()
    }
}
