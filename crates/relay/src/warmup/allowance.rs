//! How far requests to a cold server may exceed its rate.

/// How far the requests to a cold server in any second may exceed its rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// The factor of the rate, in percent.
    pub excess_percent: u64,
    /// Requests in addition.
    pub slack: u64,
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            excess_percent: 150,
            slack: 5,
        }
    }
}
