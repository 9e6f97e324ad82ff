//! Signed session tokens, which clients use to carry floors between connections.

use std::collections::BTreeMap;
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

use crate::Error;
use crate::Floors;

/// The version of the token format.
const FORMAT_VERSION: u8 = 1;

/// The length of the signature in bytes.
const SIGNATURE_LEN: usize = 32;

/// The length in bytes of the header: the version and the key identifier.
const HEADER_LEN: usize = 5;

/// The fleet's secrets: the current one signs; previous ones only verify.
#[derive(Clone)]
pub struct Keyring {
    /// Always a key of `secrets`.
    current: u32,
    secrets: BTreeMap<u32, Arc<[u8]>>,
}

impl Keyring {
    /// Creates a keyring that signs with `current`.
    pub fn open(current: u32, secret: Arc<[u8]>) -> Self {
        Self {
            current,
            secrets: BTreeMap::from([(current, secret)]),
        }
    }

    /// Adds a previous secret, which verifies but does not sign.
    #[must_use]
    pub fn with_previous(mut self, key: u32, secret: Arc<[u8]>) -> Self {
        self.secrets.entry(key).or_insert(secret);
        self
    }

    fn mac(&self, key: u32, signed: &[u8]) -> Result<Hmac<Sha256>, Error> {
        let secret = self.secrets.get(&key).ok_or(Error::UnknownKey { key })?;
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes any key length");
        mac.update(signed);
        Ok(mac)
    }
}

/// The payload of a session token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The client account that the session belongs to.
    pub account: Arc<str>,
    /// The session's floors.
    pub floors: Floors,
}

impl Token {
    /// Encodes the version, key identifier, payload and signature as base64url.
    pub fn sign(&self, keyring: &Keyring) -> String {
        let mut bytes = vec![FORMAT_VERSION];
        bytes.extend(keyring.current.to_be_bytes());
        let payload =
            postcard::to_allocvec(self).expect("a token of plain fields can be serialized");
        bytes.extend(payload);
        let mac = keyring
            .mac(keyring.current, &bytes)
            .expect("the current key is in the keyring");
        bytes.extend(mac.finalize().into_bytes());
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a token and verifies its signature.
    ///
    /// # Errors
    ///
    /// Returns an error if the token is malformed, its version or key is unknown, or its signature
    /// does not match.
    pub fn verify(text: &str, keyring: &Keyring) -> Result<Self, Error> {
        let malformed = |why| Error::Malformed { why };
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| malformed("it is not base64url"))?;
        let version = *bytes.first().ok_or(malformed("it is empty"))?;
        if version != FORMAT_VERSION {
            return Err(Error::UnsupportedVersion { version });
        }
        if bytes.len() < HEADER_LEN + SIGNATURE_LEN {
            return Err(malformed("it is cut off"));
        }
        let (signed, signature) = bytes.split_at(bytes.len() - SIGNATURE_LEN);
        let (header, payload) = signed.split_at(HEADER_LEN);
        let key = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        keyring
            .mac(key, signed)?
            .verify_slice(signature)
            .map_err(|_| Error::InvalidSignature)?;
        postcard::from_bytes(payload).map_err(|_| malformed("its payload is damaged"))
    }
}
