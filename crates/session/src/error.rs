//! Token and read consistency errors.

use std::sync::Arc;

use endpoint::Position;
use snafu::Snafu;

/// The reason a token or the result of a read was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The token cannot be decoded or is truncated.
    #[snafu(display("reading the session token: {why}; send the token whole, as it was received"))]
    Malformed {
        /// The decoding failure.
        why: &'static str,
    },
    /// The token's format version is not supported by this release.
    #[snafu(display(
        "reading the session token: version {version} is not known; update this instance"
    ))]
    UnsupportedVersion {
        /// The token's format version.
        version: u8,
    },
    /// The token was signed with a key that is not in the keyring.
    #[snafu(display(
        "checking the session token: key {key} is not known; start a session without a token"
    ))]
    UnknownKey {
        /// The key's identifier.
        key: u32,
    },
    /// The token's signature does not match.
    #[snafu(display("checking the session token: wrong signature; send it as it was received"))]
    InvalidSignature,
    /// The token's position is ahead of the group's confirmed position.
    #[snafu(display(
        "checking the session token: group {group} has not reached {floor} but {known}; \
         start a session without a token"
    ))]
    AheadOfGroup {
        /// The group's name.
        group: Arc<str>,
        /// The token's position.
        floor: Position,
        /// The group's confirmed position.
        known: Position,
    },
    /// The read may miss data that the session has already seen; its result must be discarded.
    #[snafu(display(
        "reading from group {group} at {endpoint}: it is at {seen}, behind the session's {floor}; \
         read at the primary"
    ))]
    BehindFloor {
        /// The group's name.
        group: Arc<str>,
        /// The endpoint that ran the read.
        endpoint: Arc<str>,
        /// The endpoint's position after the read.
        seen: Position,
        /// The session's floor.
        floor: Position,
    },
}
