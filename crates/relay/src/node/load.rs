//! How loaded this instance is.

/// Statements a second, smoothed; a step is one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Four times the smoothed number.
    smoothed: u64,
    /// All statements until the last step.
    counted: u64,
}

impl Load {
    /// Takes the number of all statements so far, once a second.
    pub fn step(&mut self, counted: u64) {
        let new = counted.saturating_sub(self.counted);
        self.counted = counted;
        self.smoothed = self.smoothed - self.smoothed / 4 + new;
    }

    /// Returns the statements a second.
    pub fn per_second(&self) -> u64 {
        self.smoothed / 4
    }
}
