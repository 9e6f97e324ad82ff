//! Placement of an account's limit on slices.

use sha2::Digest;
use sha2::Sha256;

use crate::rate::Amount;
use crate::rate::Limit;
use crate::rate::SLICE_COUNT;

/// Minimum number of slices per limit, so that the loss of one holder affects only part of it.
const MIN_SLICES: u64 = 4;

/// The slices that carry an account's limit, and the part that each carries.
///
/// A small burst is placed on few slices: a bucket with a capacity of less than a token grants
/// nothing, and one with little refill takes long to have a whole token. The slices depend only
/// on the account's name and the limit, and those of a smaller limit are a subset of those of a
/// larger one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Placement {
    /// The slices, as a mask.
    slices: u64,
    /// The part of the limit that one slice carries, multiplied by `SLICE_COUNT`.
    per_slice: Limit,
}

impl Placement {
    /// Places an account's limit on one slice per `tokens_per_slice` tokens of the burst.
    pub fn of(account: &str, limit: Limit, tokens_per_slice: u64) -> Self {
        let slice_count = u64::from(SLICE_COUNT);
        let count = (limit.burst / tokens_per_slice).clamp(MIN_SLICES, slice_count);
        // Rounds down, so that all slices together never carry more than the limit.
        let each = |all: u64| all.saturating_mul(slice_count) / count;
        Self {
            slices: choose_slices(account, count),
            per_slice: Limit {
                rate: each(limit.rate),
                burst: each(limit.burst),
            },
        }
    }

    /// Returns whether both placements use the same slices.
    pub fn has_slices_of(&self, other: &Self) -> bool {
        self.slices == other.slices
    }

    /// Returns the slices that both use, each with the smaller part of the limit.
    pub fn common(&self, other: &Self) -> Self {
        Self {
            slices: self.slices & other.slices,
            per_slice: Limit {
                rate: self.per_slice.rate.min(other.per_slice.rate),
                burst: self.per_slice.burst.min(other.per_slice.burst),
            },
        }
    }

    /// Returns the refill of the slices in `held` in `micros` microseconds.
    pub fn refill(&self, held: u64, micros: u64) -> Amount {
        Amount::refill(self.per_slice, self.count(held), micros)
    }

    /// Returns the capacity of the slices in `held`.
    pub fn capacity(&self, held: u64) -> Amount {
        Amount::capacity(self.per_slice, self.count(held))
    }

    fn count(&self, held: u64) -> u32 {
        (self.slices & held).count_ones()
    }
}

/// Returns a mask of `count` slices for an account; a smaller count gives a subset.
fn choose_slices(account: &str, count: u64) -> u64 {
    let slice_count = u64::from(SLICE_COUNT);
    // All instances must choose the same slices, whatever their build.
    let digest = Sha256::digest(account.as_bytes());
    let first = u64::from(digest[0]);
    // `SLICE_COUNT` is a power of two, so an odd step visits every slice before it repeats one.
    let step = u64::from(digest[1]) | 1;
    (0..count).fold(0, |mask, index| {
        let slice = (first + step * index) % slice_count;
        mask | 1 << slice
    })
}
