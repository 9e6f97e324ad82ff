//! A reply that only a leader can give.

use clock::Time;
use endpoint::Position;

/// A reply that only a leader can give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// When the request was sent; the server led at that time or later.
    pub sent: Time,
    /// When the reply was received, or later.
    pub received: Time,
    /// The end of the server's log.
    pub position: Position,
    /// The token of the replacement that appointed the server, 0 before the first one; `None` where
    /// a replaced primary refuses by itself, so that the reply alone proves that the server led.
    pub reign: Option<u64>,
}
