//! The failures of a status query.

/// The failure of a status query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Failure {
    /// The connection was refused or reset.
    Refused,
    /// No response arrived in time.
    Silent,
}
