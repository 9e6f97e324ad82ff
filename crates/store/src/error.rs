//! Errors of the platform's service.

use snafu::Snafu;

/// Why a call to the platform gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// Nothing was done.
    #[snafu(display("{step} at {peer}: not done: {why}"))]
    Refused {
        /// The call that failed.
        step: &'static str,
        /// The address of the service.
        peer: String,
        /// The cause.
        why: String,
    },
    /// The call may or may not have taken effect.
    #[snafu(display("{step} at {peer}: outcome unknown: {why}"))]
    Unknown {
        /// The call that failed.
        step: &'static str,
        /// The address of the service.
        peer: String,
        /// The cause.
        why: String,
    },
}
