//! Rendezvous hashing, by which all instances derive the same order without communicating.

use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;

/// Orders names by their hash with a key.
///
/// Adding or removing a name leaves the order of the others unchanged.
pub fn rendezvous_order<'a>(key: &str, names: impl Iterator<Item = &'a Arc<str>>) -> Vec<Arc<str>> {
    let mut scored: Vec<(u64, &Arc<str>)> = names.map(|name| (score(key, name), name)).collect();
    scored.sort();
    scored
        .into_iter()
        .map(|(_, name)| Arc::clone(name))
        .collect()
}

fn score(key: &str, name: &str) -> u64 {
    let mut digest = Sha256::new();
    digest.update(key.as_bytes());
    digest.update([0]);
    digest.update(name.as_bytes());
    let bytes = digest.finalize();
    let first: [u8; 8] = bytes[..8].try_into().expect("a digest has 32 bytes");
    u64::from_be_bytes(first)
}
