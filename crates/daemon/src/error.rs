//! Errors that end the process at its start.

use snafu::Snafu;

/// Why the process could not start or had to end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A flag or environment variable is wrong.
    #[snafu(display("{flag} {value:?}: allowed is: {allowed}"))]
    Flag {
        /// The flag.
        flag: String,
        /// The value that was found.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// A port could not be opened.
    #[snafu(display("{step} at {peer}: {why}; is the address free and local?"))]
    Bind {
        /// The step that failed.
        step: &'static str,
        /// The address.
        peer: String,
        /// The cause.
        why: String,
    },
    /// A library could not be set up.
    #[snafu(display("{step}: {why}"))]
    Setup {
        /// The step that failed.
        step: &'static str,
        /// The cause.
        why: String,
    },
}
