//! Versions of rows across returns of the store from an older copy.
//!
//! A store that returns from a copy gives versions out again. A version therefore includes the era,
//! which rises with each return, in its upper bits, so that versions of different eras are never
//! equal and are ordered as pairs.

/// Bits of the number within an era.
const NUMBER_BITS: u32 = 48;

/// Returns the version with this number in an era.
pub fn join(era: u64, number: u64) -> u64 {
    (era << NUMBER_BITS) | (number & ((1 << NUMBER_BITS) - 1))
}

/// Returns the era of a version.
pub fn era(version: u64) -> u64 {
    version >> NUMBER_BITS
}

/// Returns the number of a version within its era.
pub fn number(version: u64) -> u64 {
    version & ((1 << NUMBER_BITS) - 1)
}
