//! Deterministic salts, and mock SCRAM verifiers for unknown accounts.

use std::sync::Arc;

use crate::key::Verifier;
use crate::key::verifier::sign;

/// PBKDF2 iteration count of every key; the same as PostgreSQL's default.
pub const PBKDF2_ITERATIONS: u32 = 4096;

/// Length of a salt, in bytes.
const SALT_LEN: usize = 16;

/// Returns the salt of all keys of `account`, whether or not the account exists.
///
/// It depends only on the account's name and the fleet secret, so a client cannot tell from the
/// salt whether the account exists.
pub fn salt(account: &str, fleet_secret: &[u8]) -> Arc<[u8]> {
    let hash = derive_hash(b"salt\0", account, fleet_secret);
    Arc::from(&hash[..SALT_LEN])
}

/// Returns a verifier that no key matches, for an account that does not exist or has no keys.
pub fn mock_verifier(account: &str, fleet_secret: &[u8]) -> Verifier {
    Verifier {
        id: Arc::from(""),
        salt: salt(account, fleet_secret),
        iterations: PBKDF2_ITERATIONS,
        stored_key: derive_hash(b"stored\0", account, fleet_secret),
        server_key: derive_hash(b"server\0", account, fleet_secret),
    }
}

fn derive_hash(label: &[u8], account: &str, fleet_secret: &[u8]) -> [u8; 32] {
    sign(fleet_secret, &[label, account.as_bytes()].concat())
}
