//! Errors of the load tool.

use snafu::Snafu;

/// Why a command could not do its work.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A flag has a value that is not allowed.
    #[snafu(display("{flag} {value:?}: allowed is {allowed}"))]
    Flag {
        /// The flag.
        flag: &'static str,
        /// The value that was given.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// A process of the fleet did not answer as expected.
    #[snafu(display("{step} at {peer}: {why}"))]
    Peer {
        /// The step.
        step: &'static str,
        /// The address.
        peer: String,
        /// The cause.
        why: String,
    },
    /// A file could not be read or written.
    #[snafu(display("{step} {path}: {why}"))]
    File {
        /// The step.
        step: &'static str,
        /// The file.
        path: String,
        /// The cause.
        why: String,
    },
}

impl Error {
    /// Makes an error of a peer.
    pub(crate) fn peer(step: &'static str, peer: &str, why: impl ToString) -> Self {
        Self::Peer {
            step,
            peer: peer.to_owned(),
            why: why.to_string(),
        }
    }

    /// Makes an error of a file.
    pub(crate) fn file(step: &'static str, path: &std::path::Path, why: impl ToString) -> Self {
        Self::File {
            step,
            path: path.display().to_string(),
            why: why.to_string(),
        }
    }
}
