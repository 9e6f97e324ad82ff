//! Queued requests, and the reasons for which they are shed.

use std::sync::Arc;

use clock::Span;
use clock::Time;

/// Priority class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Class {
    /// Writes and status updates; run first.
    Write,
    /// Lookups; run after the writes of the same round.
    Lookup,
}

/// A queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Request id chosen by the caller.
    pub id: u64,
    /// Account that sent the request.
    pub account: Arc<str>,
    /// Priority class.
    pub class: Class,
    /// Time by which it must have been assigned a slot.
    pub deadline: Time,
}

/// Why a request was shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The queue is full, and this is the newest request of the account with the highest load per
    /// weight.
    Full,
    /// The expected wait behind the account's own requests exceeds the deadline.
    Late,
    /// The deadline passed while the request was queued.
    Expired,
}

/// A request that was shed: it did not run, and the client is answered at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shed {
    /// The request.
    pub ticket: Ticket,
    /// Why it was shed.
    pub reason: Reason,
    /// Suggested delay before the client retries.
    pub retry_after: Span,
}
