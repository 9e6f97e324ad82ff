//! Authentication tags keyed with the secret that all instances of a fleet share.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

/// Appends and verifies truncated HMAC-SHA-256 tags.
#[derive(Clone)]
pub struct Authenticator {
    mac: Hmac<Sha256>,
    /// Length of a tag in bytes, from 1 to 32.
    tag_bytes: usize,
}

impl Authenticator {
    /// Opens an authenticator for one purpose of the secret, with tags of `tag_bytes` bytes.
    ///
    /// The purpose separates the domains of the secret: tags for one purpose are not valid for
    /// another.
    ///
    /// # Panics
    ///
    /// Panics if `tag_bytes` is not from 1 to 32.
    pub fn open(secret: &[u8], purpose: &[u8], tag_bytes: usize) -> Self {
        assert!((1..=32).contains(&tag_bytes), "a tag has 1 to 32 bytes");
        let mut mac =
            <Hmac<Sha256> as Mac>::new_from_slice(secret).expect("HMAC takes a key of any length");
        mac.update(purpose);
        Self { mac, tag_bytes }
    }

    /// Appends the tag of `message` to it.
    pub fn append_tag(&self, message: &mut Vec<u8>) {
        let tag = self.mac.clone().chain_update(&*message).finalize();
        message.extend_from_slice(&tag.into_bytes()[..self.tag_bytes]);
    }

    /// Verifies the tag at the end of `bytes` and returns the message before it; `None` if the tag
    /// is missing or wrong.
    pub fn verify<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let split = bytes.len().checked_sub(self.tag_bytes)?;
        let (message, tag) = bytes.split_at(split);
        let mac = self.mac.clone().chain_update(message);
        mac.verify_truncated_left(tag).ok()?;
        Some(message)
    }
}
