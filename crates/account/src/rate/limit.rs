//! Rate limits of accounts, and the fixed-point unit of tokens.

use serde::Deserialize;
use serde::Serialize;

/// Number of slices into which the rate and burst of every account are split.
pub const SLICE_COUNT: u32 = 64;

/// Micro-tokens per token.
const MICROS: u64 = 1_000_000;

/// Rate limit of an account over all instances together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Tokens per second.
    pub rate: u64,
    /// Tokens that may be consumed at once.
    pub burst: u64,
}

/// A quantity of tokens in 1/64 micro-tokens, so that the refill of a slice per microsecond is a
/// whole number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Amount(u64);

impl Amount {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// Returns an amount of whole tokens.
    pub const fn from_tokens(tokens: u64) -> Self {
        Self(tokens.saturating_mul(MICROS * SLICE_COUNT as u64))
    }

    /// Returns the refill of `slices` slices in `micros` microseconds.
    pub const fn refill(limit: Limit, slices: u32, micros: u64) -> Self {
        // CAST: widening; one token per second is one micro-token per microsecond.
        Self(
            limit
                .rate
                .saturating_mul(slices as u64)
                .saturating_mul(micros),
        )
    }

    /// Returns the capacity of `slices` slices.
    pub const fn capacity(limit: Limit, slices: u32) -> Self {
        // CAST: widening.
        Self(
            limit
                .burst
                .saturating_mul(MICROS)
                .saturating_mul(slices as u64),
        )
    }

    /// Returns the raw number of 1/64 micro-tokens.
    pub const fn raw(self) -> u64 {
        self.0
    }

    /// Returns an amount of `raw` 1/64 micro-tokens.
    pub const fn from_raw(raw: u64) -> Self {
        Self(raw)
    }

    /// Adds, saturating at the maximum value.
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Subtracts, saturating at zero.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}
