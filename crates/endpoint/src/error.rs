//! Errors of requests to a database server.

use std::sync::Arc;

use snafu::Snafu;

/// An error of a connection attempt or a request to a server.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The server returned an error; the connection is still usable.
    #[snafu(display("{step} at {peer}: {code} {message}"))]
    Server {
        /// The operation that failed.
        step: &'static str,
        /// The server's name.
        peer: Arc<str>,
        /// The SQLSTATE.
        code: Arc<str>,
        /// The server's error message.
        message: String,
        /// The detail field of the server's error, if present.
        detail: Option<String>,
        /// The hint field of the server's error, if present.
        hint: Option<String>,
    },
    /// The statement was not sent, so it did not run.
    #[snafu(display("{step} at {peer}: not sent: {why}"))]
    NotSent {
        /// The operation that failed.
        step: &'static str,
        /// The server's name.
        peer: Arc<str>,
        /// The cause.
        why: String,
    },
    /// The statement may have been sent, and its outcome is unknown.
    #[snafu(display("{step} at {peer}: outcome unknown: {why}"))]
    Unknown {
        /// The operation that failed.
        step: &'static str,
        /// The server's name.
        peer: Arc<str>,
        /// The cause.
        why: String,
    },
}
