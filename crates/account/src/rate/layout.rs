//! How a limit becomes buckets, which all instances must do alike.

use crate::rate::Limit;
use crate::rate::Quota;
use crate::rate::placement::Placement;

/// How a limit becomes buckets.
///
/// The tokens of all buckets together are within the limit only if all instances use the same
/// layout, so a newer one is used once no row of slices was written by an older version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Layout {
    /// Half of the slack raises the rate; a slice carries two tokens of the burst.
    Fine,
    /// The larger one of burst and slack is the burst, the smaller one raises the rate; a slice
    /// carries eight tokens of the burst.
    Coarse,
}

impl Layout {
    /// The layout that this version prefers.
    pub const NEWEST: Self = Self::Coarse;

    /// Returns the newest layout that is known to a version that writes this number into its row.
    pub fn of_row(version: u32) -> Self {
        match version {
            0 => Self::Fine,
            _ => Self::Coarse,
        }
    }

    /// Returns the number that this version writes into its row.
    pub fn row_version() -> u32 {
        1
    }

    /// Returns the limit of the bucket for an account's limit.
    pub fn bucket_limit(self, quota: Option<Quota>, limit: Limit) -> Limit {
        let Some(quota) = quota else {
            return limit;
        };
        match self {
            Self::Fine => quota.raise_rate(limit),
            Self::Coarse => quota.spread(limit),
        }
    }

    /// Places a bucket's limit on slices.
    pub fn place(self, account: &str, limit: Limit) -> Placement {
        let tokens_per_slice = match self {
            Self::Fine => 2,
            Self::Coarse => 8,
        };
        Placement::of(account, limit, tokens_per_slice)
    }
}
