//! Requests and replies, in `postcard` inside sealed frames.

use std::sync::Arc;

use account::rate;
use membership::Heartbeat;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use settings::Snapshot;

/// What one instance asks of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Shows that the sender is alive; answered by the receiver's own heartbeat.
    Heartbeat(Heartbeat),
    /// Asks for the settings revision in force.
    Head,
    /// Asks for the settings in force.
    Snapshot,
    /// Tells of a later settings revision.
    Push {
        /// The instance that accepted the change.
        origin: Arc<str>,
        /// The settings.
        snapshot: Snapshot,
    },
    /// Asks whether the receiver sees a group's primary alive.
    Vote {
        /// The group.
        group: Arc<str>,
        /// The primary's term.
        term: u64,
    },
    /// Tells of a group's row.
    Announce {
        /// The group.
        group: Arc<str>,
        /// The row.
        row: group::Row,
        /// The row's version in the table.
        version: u64,
    },
    /// A message of the sender's rate limiter.
    Rate(rate::Message),
}

/// The settings revision in force at an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Head {
    /// The revision; 0 before the first.
    pub revision: u64,
    /// Its hash.
    pub hash: Arc<str>,
    /// Microseconds since it was known to be the table's latest, if it ever was.
    pub confirmed_age_us: Option<u64>,
}

/// The answer to a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The receiver's heartbeat.
    Heartbeat(Heartbeat),
    /// The settings revision in force.
    Head(Head),
    /// The settings in force, if there are any.
    Snapshot(Option<Snapshot>),
    /// The push was taken; the revision that is now in force.
    Pushed(u64),
    /// Whether the primary is alive, or `None` if the receiver cannot tell.
    Vote(Option<bool>),
    /// The row was taken; the revision up to which earlier proofs are given up.
    Acknowledged(u64),
    /// The answers of the receiver's rate limiter.
    Rate(Vec<rate::Message>),
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages are plain values")
}

/// Decodes a message, `None` if it is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
