//! Errors of tokens and floors.

use std::sync::Arc;

use endpoint::Position;
use snafu::Snafu;

/// Why a token or a read was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The token's text is damaged or cut off.
    #[snafu(display("reading the session token: {why}; send the token whole, as it was received"))]
    Malformed {
        /// What is wrong with the text.
        why: &'static str,
    },
    /// The token has a version that this release does not know.
    #[snafu(display(
        "reading the session token: version {version} is not known; update this instance"
    ))]
    UnsupportedVersion {
        /// The token's version.
        version: u8,
    },
    /// The token was signed with a key that is not in the settings.
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
    /// The token names a position that the group has not reached.
    #[snafu(display(
        "checking the session token: group {group} has not reached {floor} but {known}; \
         start a session without a token"
    ))]
    AheadOfGroup {
        /// The group's name.
        group: Arc<str>,
        /// The token's position.
        floor: Position,
        /// The group's position.
        known: Position,
    },
    /// A read may not have seen what the session saw before; its answer must not leave.
    #[snafu(display(
        "reading from group {group} at {peer}: it is at {seen}, behind the session's {floor}; \
         read at the primary"
    ))]
    BehindFloor {
        /// The group's name.
        group: Arc<str>,
        /// The endpoint that answered.
        peer: Arc<str>,
        /// The endpoint's position after the read.
        seen: Position,
        /// The session's floor.
        floor: Position,
    },
}
