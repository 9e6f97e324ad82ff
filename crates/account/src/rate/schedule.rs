//! The slices that an instance may use, and until when.

use clock::Time;

/// The slices that this instance may use as a function of time, as masks.
///
/// Invariant: `pinned` is a subset of `full`, and `full_until <= pinned_until`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Schedule {
    /// Slices usable before `full_until`.
    pub full: u64,
    /// Slices usable from `full_until` until `pinned_until`.
    pub pinned: u64,
    /// End of the short lease.
    pub full_until: Time,
    /// End of the long lease.
    pub pinned_until: Time,
}

impl Schedule {
    /// Returns the slices usable at `now`, as a mask.
    pub fn held(&self, now: Time) -> u64 {
        if now < self.full_until {
            self.full
        } else if now < self.pinned_until {
            self.pinned
        } else {
            0
        }
    }

    /// Returns the number of slices usable at `now`.
    pub fn slice_count(&self, now: Time) -> u32 {
        self.held(now).count_ones()
    }
}
