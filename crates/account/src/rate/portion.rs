//! Which slices carry an account's limit.

use sha2::Digest;
use sha2::Sha256;

use crate::rate::Amount;
use crate::rate::Limit;
use crate::rate::SLICES;

/// The fewest slices that carry a limit, so that the end of one holder takes a part of it only.
const FEWEST: u64 = 4;

/// Tokens of the burst for each slice that carries a limit.
const TOKENS_PER_SLICE: u64 = 2;

/// Which slices carry an account's limit, and how much each carries.
///
/// A limit with a small burst is carried by few slices, one for two tokens, since a bucket with room
/// for less than a token grants nothing, and one with room for two is seldom empty. The slices follow
/// from the account's name and the limit alone, and those of a smaller limit are among those of a
/// larger one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Portion {
    /// The slices, as a mask.
    slices: u64,
    /// What a slice carries, 64 times over.
    each: Limit,
}

impl Portion {
    /// Splits an account's limit.
    pub fn of(account: &str, limit: Limit) -> Self {
        let most = u64::from(SLICES);
        let count = (limit.burst / TOKENS_PER_SLICE).clamp(FEWEST, most);
        // Rounded down, so that all slices together never carry more than the limit.
        let each = |all: u64| all.saturating_mul(most) / count;
        Self {
            slices: mask(account, count),
            each: Limit {
                rate: each(limit.rate),
                burst: each(limit.burst),
            },
        }
    }

    /// Returns whether the same slices carry it.
    pub fn has_slices_of(&self, other: &Self) -> bool {
        self.slices == other.slices
    }

    /// Returns what both carry in each slice.
    pub fn common(&self, other: &Self) -> Self {
        Self {
            slices: self.slices & other.slices,
            each: Limit {
                rate: self.each.rate.min(other.each.rate),
                burst: self.each.burst.min(other.each.burst),
            },
        }
    }

    /// Returns what the slices in `held` receive in `micros` microseconds.
    pub fn inflow(&self, held: u64, micros: u64) -> Amount {
        Amount::inflow(self.each, self.count(held), micros)
    }

    /// Returns what the slices in `held` can hold.
    pub fn capacity(&self, held: u64) -> Amount {
        Amount::capacity(self.each, self.count(held))
    }

    fn count(&self, held: u64) -> u32 {
        (self.slices & held).count_ones()
    }
}

/// Returns `count` slices for an account; fewer are always among more.
fn mask(account: &str, count: u64) -> u64 {
    let most = u64::from(SLICES);
    // All instances must choose the same, whatever their build.
    let digest = Sha256::digest(account.as_bytes());
    let first = u64::from(digest[0]);
    // An odd step goes through all slices before it comes back.
    let step = u64::from(digest[1]) | 1;
    (0..count).fold(0, |mask, index| {
        let slice = (first + step * index) % most;
        mask | 1 << slice
    })
}
