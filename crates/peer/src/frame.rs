//! The messages between peers.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use timeline::Timestamp;

/// The version of the protocol between peers.
pub(crate) const VERSION: u16 = 1;

/// One message, before it is encoded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The protocol version of the sender.
    pub version: u16,
    /// The sender's fleet.
    pub fleet: Arc<str>,
    /// The sender's name.
    pub from: Arc<str>,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The receiver's incarnation as known to the sender; 0 if unknown.
    pub to_incarnation: u64,
    /// Unique among the requests of one incarnation; a reply carries the id of its request.
    pub id: u64,
    /// The sender's hybrid logical clock.
    pub stamp: Timestamp,
    /// The payload.
    pub body: Body,
}

/// The payload of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A request, encoded by the layer above.
    Request(Vec<u8>),
    /// The reply, encoded by the layer above.
    Reply(Vec<u8>),
    /// The request was not handled.
    Refused(Refusal),
}

/// Why a request was not handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The request was meant for another incarnation of the receiver.
    #[strum(serialize = "other-life")]
    IncarnationMismatch,
    /// The request was received before, or is too old to tell.
    Repeated,
    /// The request could not be decoded.
    Malformed,
}
