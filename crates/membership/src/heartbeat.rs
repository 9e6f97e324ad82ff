//! Heartbeats, by which instances report their state to each other.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Phase;

/// The version of the peer protocol; heartbeats of any other version are rejected.
pub const PROTOCOL_VERSION: u32 = 1;

/// A periodic report of an instance's state to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The fleet that the sender belongs to.
    pub fleet: Arc<str>,
    /// The version of the peer protocol.
    pub version: u32,
    /// The sender's instance name.
    pub name: Arc<str>,
    /// The random number of the sender's process start, as in its lease row.
    pub life: u64,
    /// Increases with each message of a life, so that replays are detected.
    pub sequence: u64,
    /// The sender's availability zone.
    pub zone: Arc<str>,
    /// The address of the sender's peer listener.
    pub address: Arc<str>,
    /// The address of the sender's admin interface.
    pub admin: Arc<str>,
    /// Whether the sender accepts new work.
    pub phase: Phase,
    /// The settings revision that the sender applies.
    pub revision: u64,
    /// The hash of that revision.
    pub hash: Arc<str>,
    /// Milliseconds since `revision` was last confirmed as the latest in the table.
    pub confirmed_age_ms: Option<u64>,
    /// Milliseconds since the sender started its last successful read of the table.
    pub table_age_ms: Option<u64>,
}

/// How a received heartbeat was handled; only an accepted one changes any state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// It created or updated the sender's entry.
    Accepted,
    /// The sender belongs to another fleet.
    OtherFleet,
    /// The sender uses another protocol version.
    OtherVersion,
    /// The life has ended: a later one replaced it, or the instance left.
    EarlierLife,
    /// The life differs from the known one, which may still run; only the lease row can tell which
    /// of the two is later.
    UnconfirmedLife,
    /// The sequence number is not above the last one seen.
    Replayed,
    /// The sender has this instance's own name.
    Own,
}
