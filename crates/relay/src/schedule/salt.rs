//! Salts that spread the times at which refused requests return.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Returns a number that depends on the request's id alone, so that a decision can be repeated.
pub fn salt(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
