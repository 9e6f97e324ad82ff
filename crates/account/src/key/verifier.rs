//! The stored form of a key: a SCRAM-SHA-256 verifier (RFC 5802, RFC 7677).

use std::fmt;
use std::sync::Arc;

use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::key::Secret;

/// Length of the hashes of SCRAM-SHA-256, in bytes.
pub const KEY_LEN: usize = 32;

/// The stored form of a key, which verifies the key without revealing it.
///
/// All keys of an account share the salt and iteration count, so that one SCRAM exchange can be
/// verified against each of them.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verifier {
    /// Key id; it is not secret and may be logged.
    pub id: Arc<str>,
    /// Salt sent to the client.
    pub salt: Arc<[u8]>,
    /// PBKDF2 iteration count sent to the client.
    pub iterations: u32,
    /// SHA-256 hash of the client key (`StoredKey` in RFC 5802).
    pub stored_key: [u8; KEY_LEN],
    /// HMAC key of the server signature (`ServerKey` in RFC 5802).
    pub server_key: [u8; KEY_LEN],
}

impl Verifier {
    /// Derives the verifier of `key`. PBKDF2 takes milliseconds; for tools and tests, not for
    /// logins.
    pub fn derive(id: &str, key: &Secret, salt: &[u8], iterations: u32) -> Self {
        let mut salted = [0_u8; KEY_LEN];
        pbkdf2::pbkdf2_hmac::<Sha256>(key.expose().as_bytes(), salt, iterations, &mut salted);
        let client_key = sign(&salted, b"Client Key");
        Self {
            id: Arc::from(id),
            salt: Arc::from(salt),
            iterations,
            stored_key: Sha256::digest(client_key).into(),
            server_key: sign(&salted, b"Server Key"),
        }
    }

    /// Returns whether `proof` was computed with this key; costs two hashes and compares in
    /// constant time.
    pub fn check(&self, auth_message: &[u8], proof: &[u8]) -> bool {
        if proof.len() != KEY_LEN {
            return false;
        }
        let signature = sign(&self.stored_key, auth_message);
        let mut client_key = [0_u8; KEY_LEN];
        for (out, (a, b)) in client_key.iter_mut().zip(signature.iter().zip(proof)) {
            *out = a ^ b;
        }
        let hash: [u8; KEY_LEN] = Sha256::digest(client_key).into();
        hash.ct_eq(&self.stored_key).into()
    }

    /// Returns the server signature, which proves to the client that the server has the verifier.
    pub fn server_signature(&self, auth_message: &[u8]) -> [u8; KEY_LEN] {
        sign(&self.server_key, auth_message)
    }
}

impl fmt::Debug for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Verifier")
            .field("id", &self.id)
            .field("iterations", &self.iterations)
            .finish_non_exhaustive()
    }
}

/// Returns the HMAC-SHA-256 of `message`.
pub(super) fn sign(key: &[u8], message: &[u8]) -> [u8; KEY_LEN] {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("HMAC takes any key length");
    mac.update(message);
    mac.finalize().into_bytes().into()
}
