//! How loaded this instance is.

/// A load that has changed by one part in this many is reported.
const CHANGE_DIVISOR: u64 = 3;
/// Smaller changes, in statements a second, move no connection.
const CHANGE_MIN: u64 = 4;
/// A load that has not changed is reported once in this many steps; one report may be lost before
/// it counts as missing.
const REPEAT_STEPS: u32 = 5;

/// Statements a second, smoothed; a step is one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Four times the smoothed number.
    smoothed: u64,
    /// All statements until the last step.
    counted: u64,
    /// What was last reported.
    reported: u64,
    /// Steps since the last report.
    silent: u32,
}

impl Load {
    /// Takes the number of all statements so far, once a second.
    pub fn step(&mut self, counted: u64) {
        let new = counted.saturating_sub(self.counted);
        self.counted = counted;
        self.smoothed = self.smoothed - self.smoothed / 4 + new;
    }

    /// Returns the statements a second if the other instances should hear of them: they have changed
    /// much, or were not reported for a while.
    pub fn report(&mut self) -> Option<u64> {
        let load = self.per_second();
        self.silent += 1;
        let change = load.abs_diff(self.reported);
        let is_other = change > CHANGE_MIN && change > self.reported / CHANGE_DIVISOR;
        if !is_other && self.silent < REPEAT_STEPS {
            return None;
        }
        self.reported = load;
        self.silent = 0;
        Some(load)
    }

    /// Returns the statements a second.
    pub fn per_second(&self) -> u64 {
        self.smoothed / 4
    }
}
