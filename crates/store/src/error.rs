//! Errors of calls to the platform.

use snafu::Snafu;

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The call had no effect.
    #[snafu(display("{step} at {peer}: not done: {why}"))]
    Refused {
        /// The operation that failed.
        step: &'static str,
        /// The address of the platform.
        peer: String,
        /// The cause.
        why: String,
    },
    /// The call may or may not have taken effect.
    #[snafu(display("{step} at {peer}: outcome unknown: {why}"))]
    Unknown {
        /// The operation that failed.
        step: &'static str,
        /// The address of the platform.
        peer: String,
        /// The cause.
        why: String,
    },
}
