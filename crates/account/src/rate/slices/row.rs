//! The table rows in which instances record their slices.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::rate::hash::short_hash;

/// Key prefix of all rows of this module.
pub const ROW_PREFIX: &str = "share/";

/// Key of the row whose version changes whenever a member acquires free slices or deletes its row.
pub const EPOCH_KEY: &str = "share/epoch";

/// One life of an instance; a restarted instance is a different member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The instance's name.
    pub name: Arc<str>,
    /// Number of its life; a restart begins a new one.
    pub life: u64,
}

impl Member {
    /// Returns the key of the member's row.
    pub fn key(&self) -> Arc<str> {
        Arc::from(format!("{ROW_PREFIX}of/{}/{}", self.name, self.life))
    }
}

/// Returns the addresses of the instances registered in `rows`, by name; rows that can't be parsed
/// are skipped.
///
/// A lapsed row registers nobody: its slices were taken over after the holder's registration had
/// ended, and the row may stay for the rest of the long lease.
pub fn registered(rows: &[store::Row]) -> BTreeMap<Arc<str>, SocketAddr> {
    rows.iter()
        .filter_map(|row| serde_json::from_str::<Row>(&row.value).ok())
        .filter(|row| !row.lapsed)
        .map(|row| (row.member.name, row.address))
        .collect()
}

/// The slices of one member, which are the same for every account. Stored as JSON.
///
/// Invariant: a slice is in at most one row and in at most one of the two masks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The holder.
    pub member: Member,
    /// Address on which the holder listens; only one process at a time can listen on it.
    pub address: SocketAddr,
    /// Increases with every attempted write of the holder; takeovers by others leave it unchanged.
    pub serial: u64,
    /// Set by a takeover: the holder has not renewed the row since.
    pub lapsed: bool,
    /// Short lease: how long the holder uses its mobile slices after the start of the write, in
    /// milliseconds.
    pub lease_ms: u64,
    /// Mask of the slices held for the long lease.
    pub pinned: u64,
    /// Mask of the slices held for the short lease.
    pub mobile: u64,
    /// Members of which a majority must consent before the mobile slices are taken over.
    pub electors: Vec<Member>,
    /// The zone in which the holder runs statements for other instances; `None` if it runs none or
    /// its version doesn't know zones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Arc<str>>,
    /// The version of the holder's rate limiter; 0 for those that did not write it.
    #[serde(default)]
    pub version: u32,
}

impl Row {
    /// Returns a hash of the content, without the serial, which every renewal changes.
    pub(super) fn content(&self) -> u32 {
        short_hash((
            &self.member,
            self.address,
            self.lapsed,
            self.lease_ms,
            self.pinned,
            self.mobile,
            &self.electors,
        ))
    }

    /// Returns all slices of the row, as a mask.
    pub fn slices(&self) -> u64 {
        self.pinned | self.mobile
    }
}
