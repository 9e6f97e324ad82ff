//! Token bucket that limits retries to a fraction of the requests.

/// Fixed-point units per retry.
const UNITS_PER_RETRY: u64 = 1_000;

/// Token bucket that limits retries to a fraction of the requests.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Available retries, in units of 1/1000 retry.
    units: u64,
    max_units: u64,
}

impl Budget {
    /// Opens a full budget of `max_retries`.
    pub fn open(max_retries: u32) -> Self {
        let max_units = u64::from(max_retries) * UNITS_PER_RETRY;
        Self {
            units: max_units,
            max_units,
        }
    }

    /// Counts a first attempt, which earns `per_mille` thousandths of a retry.
    pub fn on_request(&mut self, per_mille: u32) {
        self.units = (self.units + u64::from(per_mille)).min(self.max_units);
    }

    /// Returns whether a retry is available.
    pub fn has_retry(&self) -> bool {
        self.units >= UNITS_PER_RETRY
    }

    /// Spends a retry.
    ///
    /// # Panics
    ///
    /// Panics if no retry is available.
    pub fn spend(&mut self) {
        assert!(self.has_retry(), "retry budget overspent");
        self.units -= UNITS_PER_RETRY;
    }
}
