//! Errors of the relay.

use clock::Span;
use snafu::Snafu;

use crate::message::Code;

/// An error of the relay.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The connection failed or delivered data that can't be parsed.
    #[snafu(display("{step} at {peer}: {why}"))]
    Broken {
        /// The step that failed.
        step: &'static str,
        /// The peer.
        peer: String,
        /// The cause.
        why: String,
    },
    /// The host refused the connection: nothing listens at the address.
    #[snafu(display("{step} at {peer}: connection refused"))]
    NotListening {
        /// The step that failed.
        step: &'static str,
        /// The peer.
        peer: String,
    },
    /// The peer refused the request.
    #[snafu(display("{step} at {peer}: refused: {code} {text}"))]
    Refused {
        /// The step that failed.
        step: &'static str,
        /// The peer.
        peer: String,
        /// The error code.
        code: Code,
        /// A description of the cause.
        text: String,
    },
    /// The queue is too long; nothing was sent.
    #[snafu(display("{step} at {peer}: the queue is too long"))]
    Overloaded {
        /// The step that failed.
        step: &'static str,
        /// The peer.
        peer: String,
        /// When the queue is expected to have room.
        retry_after: Span,
    },
    /// The peer did not answer in time.
    #[snafu(display("{step} at {peer}: no answer in time"))]
    Timeout {
        /// The step that failed.
        step: &'static str,
        /// The peer.
        peer: String,
    },
    /// The process could not be set up.
    #[snafu(display("{step}: {why}"))]
    Setup {
        /// The part that was being set up.
        step: &'static str,
        /// The cause.
        why: String,
    },
}
