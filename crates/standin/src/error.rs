//! Errors of the stand-ins.

use snafu::Snafu;

/// Why a stand-in could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// An address could not be listened on.
    #[snafu(display("listen on {peer}: {source}; choose a free loopback address"))]
    Listen {
        /// The address.
        peer: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A flag has a value that is not allowed.
    #[snafu(display("{flag} {value:?}: allowed is {allowed}"))]
    Flag {
        /// The flag.
        flag: &'static str,
        /// The value that was given.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// The in-memory database could not be opened.
    #[snafu(display("open database of {peer}: {source}"))]
    Database {
        /// The server.
        peer: String,
        /// The cause.
        source: rusqlite::Error,
    },
    /// The runtime or the log could not be set up.
    #[snafu(display("{step}: {why}"))]
    Setup {
        /// The step.
        step: &'static str,
        /// The cause.
        why: String,
    },
}
