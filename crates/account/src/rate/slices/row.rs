//! The rows of the table in which instances record their slices.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Prefix of all rows of this module.
pub const ROW_PREFIX: &str = "share/";

/// The row whose version changes with every change of owners.
pub const EPOCH_KEY: &str = "share/epoch";

/// One life of an instance; a restarted instance is another member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The instance's name.
    pub name: Arc<str>,
    /// The number of its life.
    pub life: u64,
}

impl Member {
    /// Returns the key of the member's row.
    pub fn key(&self) -> Arc<str> {
        Arc::from(format!("{ROW_PREFIX}of/{}/{}", self.name, self.life))
    }
}

/// The slices of one member; they are the same for every account.
///
/// Invariant: a slice is in at most one row and in at most one of the two masks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The holder.
    pub member: Member,
    /// Where the holder listens; only one process at a time can.
    pub address: SocketAddr,
    /// Grows with every write that the holder tries; takers leave it as it is.
    pub serial: u64,
    /// Set by a taker: the holder has not renewed the row since.
    pub lapsed: bool,
    /// How long the holder uses its mobile slices after it began to write the row, in milliseconds.
    pub lease_ms: u64,
    /// Slices that are held for the long lease.
    pub pinned: u64,
    /// Slices that are held for the short lease.
    pub mobile: u64,
    /// A majority of these must consent before mobile slices are taken over.
    pub electors: Vec<Member>,
}

impl Row {
    /// Returns all slices of the row.
    pub fn slices(&self) -> u64 {
        self.pinned | self.mobile
    }
}
