//! The server's side of a SCRAM-SHA-256 login against several verifiers of one salt.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::Hmac;
use hmac::Mac;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::Credential;
use crate::Verifier;

/// The mechanism's name.
pub const MECHANISM: &str = "SCRAM-SHA-256";

/// A login whose first client message has been answered.
pub struct Exchange {
    credential: Credential,
    /// The part of the client's first message that is authenticated.
    client_first: String,
    /// The server's first message.
    server_first: String,
    /// The channel binding that the client's last message must repeat.
    binding: String,
    /// The nonce that the client's last message must repeat.
    nonce: String,
}

/// How a login ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The proof matches a verifier.
    Accepted {
        /// The name of the key that matched.
        key: Arc<str>,
        /// The server's last message.
        server_final: String,
    },
    /// The proof matches no verifier.
    Rejected,
}

impl Exchange {
    /// Answers the client's first message; `nonce` must be fresh and printable without commas.
    pub fn begin(credential: Credential, message: &[u8], nonce: &str) -> Result<Self, String> {
        let text = std::str::from_utf8(message).map_err(|error| error.to_string())?;
        let mut parts = text.splitn(3, ',');
        let flag = parts.next().unwrap_or_default();
        let authzid = parts.next().ok_or("no authorisation field")?;
        let bare = parts.next().ok_or("no user field")?;
        if flag != "n" && flag != "y" {
            return Err("channel binding is not offered".to_owned());
        }
        if !authzid.is_empty() {
            return Err("another user's name is not accepted".to_owned());
        }
        let mut fields = bare.split(',');
        if !fields.next().is_some_and(|field| field.starts_with("n=")) {
            return Err("no user field".to_owned());
        }
        let client_nonce = fields.next().and_then(|field| field.strip_prefix("r="));
        let client_nonce = client_nonce.filter(|nonce| !nonce.is_empty());
        let nonce = format!("{}{nonce}", client_nonce.ok_or("no nonce")?);
        let salt = STANDARD.encode(&credential.salt);
        let server_first = format!("r={nonce},s={salt},i={}", credential.iterations);
        Ok(Self {
            credential,
            client_first: bare.to_owned(),
            server_first,
            binding: STANDARD.encode(format!("{flag},,")),
            nonce,
        })
    }

    /// Returns the server's first message.
    pub fn server_first(&self) -> &str {
        &self.server_first
    }

    /// Checks the client's last message; every verifier is tried, also after a match.
    pub fn finish(&self, message: &[u8]) -> Result<Outcome, String> {
        let text = std::str::from_utf8(message).map_err(|error| error.to_string())?;
        let (without_proof, proof) = text.rsplit_once(",p=").ok_or("no proof")?;
        let mut fields = without_proof.split(',');
        let binding = fields.next().and_then(|field| field.strip_prefix("c="));
        if binding != Some(&self.binding) {
            return Err("wrong channel binding".to_owned());
        }
        let nonce = fields.next().and_then(|field| field.strip_prefix("r="));
        if nonce != Some(&self.nonce) {
            return Err("wrong nonce".to_owned());
        }
        let proof = STANDARD.decode(proof).map_err(|error| error.to_string())?;
        let proof: [u8; 32] = proof.try_into().map_err(|_| "wrong length of the proof")?;
        let signed = format!(
            "{},{},{without_proof}",
            self.client_first, self.server_first
        );
        let mut matched = None;
        for verifier in &self.credential.verifiers {
            if verifier.check(signed.as_bytes(), &proof) {
                matched = Some(verifier);
            }
        }
        let Some(verifier) = matched else {
            return Ok(Outcome::Rejected);
        };
        let signature = hmac(&verifier.server_key, signed.as_bytes());
        Ok(Outcome::Accepted {
            key: Arc::clone(&verifier.id),
            server_final: format!("v={}", STANDARD.encode(signature)),
        })
    }
}

impl Verifier {
    /// Returns true if the proof was made with this verifier's key.
    fn check(&self, signed: &[u8], proof: &[u8; 32]) -> bool {
        let mut client_key = hmac(&self.stored_key, signed);
        for (byte, mask) in client_key.iter_mut().zip(proof) {
            *byte ^= mask;
        }
        let stored: [u8; 32] = Sha256::digest(client_key).into();
        stored.ct_eq(&self.stored_key).into()
    }
}

fn hmac(key: &[u8; 32], data: &[u8]) -> [u8; 32] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(data);
    mac.finalize().into_bytes().into()
}
