//! Why a datagram was rejected.

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Rejection {
    /// Its tag is not that of an instance of the fleet, or the secret is not known yet.
    Unauthenticated,
    /// It can't be decoded: it is damaged, or a message of a later version.
    Unknown,
}
