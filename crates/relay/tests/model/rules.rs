//! What a run of the model checks: the rules of the instances and the events that may happen.

use relay::node::Fencing;

/// The rules that the instances follow; each test of a fault turns one off.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Whether the platform and the servers reject what is outdated.
    pub fencing: Fencing,
    /// Whether a commit is acknowledged only under the leader lease.
    pub has_lease: bool,
    /// Whether the primary is demoted through the other instance.
    pub has_mediation: bool,
    /// Whether tokens contain the table's era.
    pub has_eras: bool,
    /// Whether the logs are read only after the other instances' leases have ended.
    pub is_survey_last: bool,
}

impl Rules {
    /// The rules of the product.
    pub fn all(fencing: Fencing) -> Self {
        Self {
            fencing,
            has_lease: true,
            has_mediation: true,
            has_eras: true,
            is_survey_last: true,
        }
    }
}

impl Rules {
    /// Returns whether instances follow the group's row and keep the leader lease.
    pub fn follows_rows(&self) -> bool {
        self.has_lease || self.is_unchecked()
    }

    /// Returns whether only the instances keep a replaced primary from acting.
    pub fn is_unchecked(&self) -> bool {
        self.fencing == Fencing::Unchecked
    }
}

/// How much may happen in one trace.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Commits sent by callers.
    pub commits: usize,
    /// Faults: losses, delays, cuts, crashes, freezes and returns of the table.
    pub faults: u8,
    /// Passages of time.
    pub ticks: u8,
    /// Servers that join or drain.
    pub changes: u8,
    /// Whether instances may freeze, end and restart.
    pub has_instance_faults: bool,
    /// Whether the table may return from an older copy.
    pub has_returns: bool,
    /// Whether calls may be carried out late.
    pub has_late_calls: bool,
    /// Whether more time may pass than that after which a holder is presumed dead.
    pub has_long_pauses: bool,
    /// Whether each call is an event of its own and links may heal; else only the events are explored
    /// on which the known faults rest.
    pub is_fine: bool,
    /// Whether a demoted primary that crashes is back as a primary.
    pub is_demotion_forgotten: bool,
}

impl Limits {
    /// Limits within which short traces can be explored.
    pub fn few() -> Self {
        Self {
            commits: 1,
            faults: 2,
            ticks: 1,
            changes: 1,
            has_instance_faults: false,
            has_returns: false,
            has_late_calls: false,
            has_long_pauses: false,
            is_fine: false,
            is_demotion_forgotten: false,
        }
    }

    /// Limits of random traces.
    pub fn many() -> Self {
        Self {
            commits: 3,
            faults: 5,
            ticks: 8,
            changes: 2,
            has_instance_faults: true,
            has_returns: true,
            has_late_calls: true,
            has_long_pauses: true,
            is_fine: true,
            is_demotion_forgotten: false,
        }
    }
}
