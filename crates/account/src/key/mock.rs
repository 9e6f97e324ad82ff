//! Salts and the verifier shown for accounts that do not exist.

use std::sync::Arc;

use crate::key::Verifier;
use crate::key::verifier::sign;

/// PBKDF2 iterations of every key, as in PostgreSQL.
pub const ITERATIONS: u32 = 4096;

/// Length of a salt, in bytes.
const SALT_LEN: usize = 16;

/// Returns the salt of all keys of `account`, known or not.
///
/// It depends on the account's name and the fleet's secret only, so the salt that a client is
/// shown does not tell whether the account exists.
pub fn salt(account: &str, fleet: &[u8]) -> Arc<[u8]> {
    let hash = labelled(b"salt\0", account, fleet);
    Arc::from(&hash[..SALT_LEN])
}

/// Returns a verifier that no key passes, for an account that does not exist or has no keys.
pub fn mock_verifier(account: &str, fleet: &[u8]) -> Verifier {
    Verifier {
        id: Arc::from(""),
        salt: salt(account, fleet),
        iterations: ITERATIONS,
        stored_key: labelled(b"stored\0", account, fleet),
        server_key: labelled(b"server\0", account, fleet),
    }
}

fn labelled(label: &[u8], account: &str, fleet: &[u8]) -> [u8; 32] {
    sign(fleet, &[label, account.as_bytes()].concat())
}
