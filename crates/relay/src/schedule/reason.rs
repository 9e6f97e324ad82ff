//! Why a request was refused.

/// Why a request was refused before it was offered to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The account's rate is used up.
    Rate,
    /// The servers' queues have no room for it.
    Overload,
}
