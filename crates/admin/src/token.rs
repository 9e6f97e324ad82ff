//! Operators' bearer tokens.

use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::Error;

/// Bytes that a secret has at least.
const SECRET_BYTES_MIN: usize = 16;

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// See everything but keys.
    Read,
    /// Also change everything.
    Write,
}

/// Who sent a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The name under which changes are audited.
    pub name: Arc<str>,
    /// What the operator may do.
    pub role: Role,
}

/// The tokens that count.
#[derive(Clone, Default)]
pub struct Tokens {
    /// Each operator with the SHA-256 of the secret.
    entries: Vec<(Operator, [u8; 32])>,
}

impl Tokens {
    /// Reads `NAME:ROLE:SECRET` entries with commas between them.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let entries = text
            .split(',')
            .filter(|entry| !entry.is_empty())
            .enumerate()
            .map(|(index, entry)| parse_entry(entry).ok_or(Error::Tokens { entry: index + 1 }))
            .collect::<Result<_, _>>()?;
        Ok(Self { entries })
    }

    /// Returns whose token a secret is.
    ///
    /// Takes the same time for each wrong secret, since every entry's hash is compared.
    pub fn find(&self, secret: &str) -> Option<&Operator> {
        let hash = digest(secret);
        let mut found = None;
        for (operator, expected) in &self.entries {
            if bool::from(expected.ct_eq(&hash)) {
                found = Some(operator);
            }
        }
        found
    }
}

fn parse_entry(entry: &str) -> Option<(Operator, [u8; 32])> {
    let (name, rest) = entry.trim().split_once(':')?;
    let (role, secret) = rest.split_once(':')?;
    if name.is_empty() || secret.len() < SECRET_BYTES_MIN {
        return None;
    }
    let operator = Operator {
        name: Arc::from(name),
        role: role.parse().ok()?,
    };
    Some((operator, digest(secret)))
}

fn digest(secret: &str) -> [u8; 32] {
    Sha256::digest(secret.as_bytes()).into()
}
