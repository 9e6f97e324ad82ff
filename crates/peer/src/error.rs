//! Errors of the transport between instances.

use snafu::Snafu;

use crate::Refusal;

/// Why a request failed or a message was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The connection failed.
    #[snafu(display("{step} at {peer}: {why}"))]
    Transport {
        /// The step that failed.
        step: &'static str,
        /// The peer's address.
        peer: String,
        /// The cause.
        why: String,
    },
    /// No reply arrived before the timeout.
    #[snafu(display("request at {peer}: timed out"))]
    Timeout {
        /// The peer's address.
        peer: String,
    },
    /// The peer did not handle the request.
    #[snafu(display("request at {peer}: refused: {why}"))]
    Refused {
        /// The peer's address.
        peer: String,
        /// The cause.
        why: Refusal,
    },
    /// A message can't be decoded or authenticated, or does not belong to this fleet, protocol
    /// version or request.
    #[snafu(display("{step}: {why}"))]
    Invalid {
        /// The step that failed.
        step: &'static str,
        /// The cause.
        why: &'static str,
    },
}
