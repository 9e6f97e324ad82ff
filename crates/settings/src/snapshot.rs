//! One revision of the tree with its hash, as stored and as sent.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::Error;
use crate::Tree;

/// The format of snapshots that this program writes.
const FORMAT: u32 = 1;

/// One revision of the tree: the content of the table's row, of the object and of a push.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The format of this envelope.
    pub format: u32,
    /// Grows by one with each accepted change; 0 is the empty tree before the first.
    pub revision: u64,
    /// The id of the change that led here.
    pub change: Arc<str>,
    /// The hash of revision, change and text, see [`hash`].
    pub hash: Arc<str>,
    /// The tree as JSON text.
    pub text: Arc<str>,
}

impl Snapshot {
    /// Wraps a tree.
    pub fn of(revision: u64, change: &str, tree: &Tree) -> Self {
        let text = tree.to_text();
        Self {
            format: FORMAT,
            revision,
            change: Arc::from(change),
            hash: hash(revision, change, &text),
            text: Arc::from(text),
        }
    }

    /// Reads an envelope and checks its hash.
    pub fn read(bytes: &[u8]) -> Result<Self, Error> {
        let snapshot: Self = serde_json::from_slice(bytes).map_err(|error| Error::Unreadable {
            step: "read snapshot",
            why: error.to_string(),
        })?;
        if snapshot.format != FORMAT {
            return Err(Error::Unreadable {
                step: "read snapshot",
                why: format!("format {} is not {FORMAT}", snapshot.format),
            });
        }
        snapshot.verify()?;
        Ok(snapshot)
    }

    /// Returns the envelope as JSON text.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a snapshot has only plain values")
    }

    /// Checks the hash.
    pub fn verify(&self) -> Result<(), Error> {
        if hash(self.revision, &self.change, &self.text) == self.hash {
            return Ok(());
        }
        Err(Error::Corrupt {
            step: "check snapshot",
            revision: self.revision,
        })
    }

    /// Checks the hash and reads the tree.
    pub fn tree(&self) -> Result<Tree, Error> {
        self.verify()?;
        Tree::parse(&self.text)
    }
}

/// Returns the SHA-256 of a revision, its change and its text, in hexadecimal digits.
pub fn hash(revision: u64, change: &str, text: &str) -> Arc<str> {
    let mut digest = Sha256::new();
    digest.update(revision.to_be_bytes());
    digest.update(change.as_bytes());
    digest.update([0]);
    digest.update(text.as_bytes());
    Arc::from(hex(&digest.finalize()))
}

/// Returns bytes as hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
