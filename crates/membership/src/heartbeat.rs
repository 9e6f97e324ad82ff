//! What instances tell each other about themselves.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Phase;

/// The version of the peer protocol that this program speaks.
pub const PROTOCOL_VERSION: u32 = 1;

/// A message by which an instance shows that it is alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The fleet that the sender belongs to.
    pub fleet: Arc<str>,
    /// The version of the peer protocol.
    pub version: u32,
    /// The sender.
    pub name: Arc<str>,
    /// The sender's life, as in its lease row.
    pub life: u64,
    /// Grows with each message of one life.
    pub sequence: u64,
    /// The sender's availability zone.
    pub zone: Arc<str>,
    /// Where peers reach the sender.
    pub address: Arc<str>,
    /// Where operators reach the sender.
    pub admin: Arc<str>,
    /// Whether the sender takes new work.
    pub phase: Phase,
    /// The settings revision that the sender acts on.
    pub revision: u64,
    /// The hash of that revision.
    pub hash: Arc<str>,
    /// Milliseconds since the sender's revision was known to be the table's latest.
    pub confirmed_age_ms: Option<u64>,
    /// Milliseconds since the sender last had an answer from the table.
    pub table_age_ms: Option<u64>,
}

/// What becomes of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// It counts.
    Accepted,
    /// It comes from another fleet and changes nothing.
    OtherFleet,
    /// It has another protocol version and changes nothing.
    OtherVersion,
    /// It comes from an earlier life of its sender and changes nothing.
    EarlierLife,
    /// Its life is not the one in the sender's row: read the row, until then it changes nothing.
    UnconfirmedLife,
    /// It was received before, or a later one was, and it changes nothing.
    Replayed,
    /// It bears this instance's own name and changes nothing.
    Own,
}
