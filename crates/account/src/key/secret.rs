//! A plaintext key, which is redacted in `Debug` and `Display` output.

use std::fmt;
use std::fmt::Write;
use std::sync::Arc;

use rand::RngCore;

/// Length of a random key before encoding, in bytes.
const RANDOM_LEN: usize = 24;

/// A plaintext key; it exists only where a key is issued or presented.
///
/// It implements no serde traits, and `Debug` and `Display` redact its content.
#[derive(Clone)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Wraps a key presented by a caller.
    pub fn new(key: &str) -> Self {
        Self(Arc::from(key))
    }

    /// Generates a new key: 192 random bits as 48 hexadecimal digits.
    pub fn random(rng: &mut impl RngCore) -> Self {
        let mut bytes = [0_u8; RANDOM_LEN];
        rng.fill_bytes(&mut bytes);
        let mut text = String::with_capacity(RANDOM_LEN * 2);
        for byte in bytes {
            // Writing to a string cannot fail.
            let _ = write!(text, "{byte:02x}");
        }
        Self(Arc::from(text))
    }

    /// Returns the plaintext, to send it to its owner or to derive a verifier.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl fmt::Display for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(secret)")
    }
}
