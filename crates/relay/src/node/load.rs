//! The load of this instance.

/// A change by more than one part in this many of the reported load is reported.
const CHANGE_DIVISOR: u64 = 3;
/// Changes up to this many statements per second move no connection.
const CHANGE_MIN: u64 = 4;
/// An unchanged load is reported once in this many steps, so that one report may be lost before
/// the load counts as missing.
const REPEAT_STEPS: u32 = 5;

/// The smoothed load in statements per second; a step is one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Four times the smoothed load.
    smoothed_x4: u64,
    /// The total number of statements at the last step.
    total: u64,
    /// The last reported load.
    reported: u64,
    /// Steps since the last report.
    steps_since_report: u32,
}

impl Load {
    /// Samples the total number of statements, once a second.
    pub fn step(&mut self, total: u64) {
        let new = total.saturating_sub(self.total);
        self.total = total;
        self.smoothed_x4 = self.smoothed_x4 - self.smoothed_x4 / 4 + new;
    }

    /// Returns the load in statements per second if it should be sent to the other instances:
    /// it changed much or is due for a repeat.
    pub fn report(&mut self) -> Option<u64> {
        let load = self.per_second();
        self.steps_since_report += 1;
        let change = load.abs_diff(self.reported);
        let has_changed = change > CHANGE_MIN && change > self.reported / CHANGE_DIVISOR;
        if !has_changed && self.steps_since_report < REPEAT_STEPS {
            return None;
        }
        self.reported = load;
        self.steps_since_report = 0;
        Some(load)
    }

    /// Returns the smoothed load in statements per second.
    pub fn per_second(&self) -> u64 {
        self.smoothed_x4 / 4
    }
}
