//! Errors of the listener and its connections.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Why the listener could not start or a connection ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The address cannot be listened on.
    #[snafu(display("bind {address}: {source}; choose a free address of this machine"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The certificate or its key cannot be used.
    #[snafu(display("load {path}: {why}; give a PEM file"))]
    Certificate {
        /// The file.
        path: String,
        /// The cause.
        why: String,
    },
    /// The connection broke.
    #[snafu(display("{step} with {peer}: {source}"))]
    Io {
        /// The step at which it arose.
        step: &'static str,
        /// The client.
        peer: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The client closed the connection.
    #[snafu(display("{step} with {peer}: closed by the client"))]
    Closed {
        /// The step at which it arose.
        step: &'static str,
        /// The client.
        peer: SocketAddr,
    },
    /// The client sent bytes that are no message of the protocol.
    #[snafu(display("{step} with {peer}: malformed message: {why}"))]
    Malformed {
        /// The step at which it arose.
        step: &'static str,
        /// The client.
        peer: SocketAddr,
        /// What is wrong.
        why: String,
    },
    /// The client sent a message above the limit.
    #[snafu(display(
        "{step} with {peer}: message of {length} bytes is above the limit of {limit}"
    ))]
    Oversized {
        /// The step at which it arose.
        step: &'static str,
        /// The client.
        peer: SocketAddr,
        /// The length that the message claims, in bytes.
        length: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The client took too long.
    #[snafu(display("{step} with {peer}: timed out"))]
    Timeout {
        /// The step at which it arose.
        step: &'static str,
        /// The client.
        peer: SocketAddr,
    },
}

impl Error {
    /// Returns true if the client is at fault by what it sent.
    pub fn is_input(&self) -> bool {
        matches!(
            self,
            Self::Malformed { .. } | Self::Oversized { .. } | Self::Timeout { .. }
        )
    }
}
