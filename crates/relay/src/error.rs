//! Errors of the relay.

use snafu::Snafu;

use crate::message::Code;

/// Why a step failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The connection broke, or what came over it can't be understood.
    #[snafu(display("{step} at {peer}: {why}"))]
    Broken {
        /// What was being done.
        step: &'static str,
        /// The other side.
        peer: String,
        /// The cause.
        why: String,
    },
    /// The host answers, and nobody listens at the address.
    #[snafu(display("{step} at {peer}: nobody listens there"))]
    NotListening {
        /// What was being done.
        step: &'static str,
        /// The other side.
        peer: String,
    },
    /// The peer refused.
    #[snafu(display("{step} at {peer}: refused: {code} {text}"))]
    Refused {
        /// What was being done.
        step: &'static str,
        /// The other side.
        peer: String,
        /// The cause.
        code: Code,
        /// More about the cause.
        text: String,
    },
    /// Too many requests wait already; nothing was sent.
    #[snafu(display("{step} at {peer}: too many wait"))]
    Overloaded {
        /// What was being done.
        step: &'static str,
        /// The other side.
        peer: String,
    },
    /// There was no answer in time.
    #[snafu(display("{step} at {peer}: no answer in time"))]
    Timeout {
        /// What was being done.
        step: &'static str,
        /// The other side.
        peer: String,
    },
    /// The process can't be set up like this.
    #[snafu(display("{step}: {why}"))]
    Setup {
        /// What was being set up.
        step: &'static str,
        /// What to change.
        why: String,
    },
}
