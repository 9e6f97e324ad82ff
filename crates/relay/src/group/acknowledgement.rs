//! Whether a commit that a server has acknowledged may be acknowledged to the caller.

/// Whether a commit that a server has acknowledged may be acknowledged to the caller.
///
/// A server acknowledges a commit once enough replicas have received it. If a replacement of the
/// server had surveyed the replicas' logs before, the server that is promoted lacks the commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Acknowledgement {
    /// Every replacement that may follow finds the commit in its survey.
    Safe,
    /// The commit may be missing in the log of a server that was promoted meanwhile.
    Doubtful,
    /// A replacement is under way, which decides.
    Undecided,
    /// The leader lease has expired, so a replacement may be under way; only the replicas can tell.
    Unproven,
}
