//! Whether a write may be acknowledged.

use clock::Time;

/// Whether a committed write may be acknowledged to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ack {
    /// The write survives any promotion.
    Proven {
        /// When the proof expires; a response not sent by then needs a new proof.
        until: Time,
    },
    /// There is no proof yet; check again after the next input.
    Wait,
    /// The term has ended, and the write is not known to be part of the next one.
    ///
    /// Its outcome stays unknown.
    Replaced,
}
