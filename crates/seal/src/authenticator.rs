//! Codes made with a secret that all instances of a fleet share.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

/// Appends and checks authentication codes.
#[derive(Clone)]
pub struct Authenticator {
    mac: Hmac<Sha256>,
    /// Bytes of each code, from 1 to 32.
    length: usize,
}

impl Authenticator {
    /// Opens an authenticator for one purpose of the secret, with codes of `length` bytes.
    ///
    /// Codes of one purpose are worth nothing for another.
    pub fn open(secret: &[u8], purpose: &[u8], length: usize) -> Self {
        assert!((1..=32).contains(&length), "a code has 1 to 32 bytes");
        let mut mac =
            <Hmac<Sha256> as Mac>::new_from_slice(secret).expect("HMAC takes a key of any length");
        mac.update(purpose);
        Self { mac, length }
    }

    /// Appends the code of a message to it.
    pub fn append_tag(&self, message: &mut Vec<u8>) {
        let code = self.mac.clone().chain_update(&*message).finalize();
        message.extend_from_slice(&code.into_bytes()[..self.length]);
    }

    /// Returns the message without its code, if the code is right.
    pub fn verify<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let split = bytes.len().checked_sub(self.length)?;
        let (message, code) = bytes.split_at(split);
        let mac = self.mac.clone().chain_update(message);
        mac.verify_truncated_left(code).ok()?;
        Some(message)
    }
}
