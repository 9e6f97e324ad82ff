//! What the other instances know of a primary that may have to be replaced.

use std::sync::Arc;

use endpoint::Position;

use crate::failover::Reason;
use crate::peers::View;

/// The other instances' views of a group, summed up.
///
/// Load pattern: a primary is cut off from some instances only, or loses one reply, while others
/// use it without trouble.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Opinion {
    /// Instances that answered.
    pub answers: usize,
    /// Those of them that probe leaders themselves.
    pub probers: usize,
    /// Probers to which the primary proved its leadership recently.
    pub confirming: usize,
    /// Instances to which another server proved its leadership recently.
    pub newer: usize,
    /// Whether a commit that any of them sent recently was acknowledged.
    pub has_recent_commit: bool,
    /// The highest position of a commit acknowledged through any of them.
    pub acknowledged: Position,
    /// The highest fencing token that any of them knows.
    pub token: u64,
}

impl Opinion {
    /// Sums up the views; `old` is the primary that this instance knows.
    pub fn of(views: &[View], old: Option<&Arc<str>>) -> Self {
        let mut opinion = Self {
            answers: views.len(),
            ..Self::default()
        };
        for view in views {
            let confirms = view.confirms(old);
            opinion.probers += usize::from(view.is_prober);
            opinion.confirming += usize::from(view.is_prober && confirms);
            opinion.newer += usize::from(view.leader.is_some() && !confirms);
            opinion.has_recent_commit |= view.has_recent_commit();
            opinion.acknowledged = opinion.acknowledged.max(view.acknowledged);
            opinion.token = opinion.token.max(view.token);
        }
        opinion
    }

    /// Returns whether the primary need not be replaced for `reason`.
    pub fn contradicts(&self, reason: Reason) -> bool {
        let is_confirmed = match reason {
            // This instance is a prober too.
            Reason::Silent => self.confirming * 2 > self.probers + 1,
            Reason::Stuck => self.has_recent_commit,
            Reason::Leaving | Reason::Evacuated | Reason::Missing | Reason::Unfinished => false,
        };
        is_confirmed || self.newer > 0
    }
}
