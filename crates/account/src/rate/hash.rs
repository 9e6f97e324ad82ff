//! A hash for choices that may differ between instances.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Returns a short hash of `value`, which may differ between builds.
pub(super) fn short_hash(value: impl Hash) -> u32 {
    // CAST: the lower half of the hash.
    hash(value) as u32
}

/// Returns a hash of `value`, which may differ between builds.
pub(super) fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
