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
    /// Whether the logs must reach the positions at which commits were acknowledged.
    pub has_bound: bool,
    /// Whether runs of servers are the holders of commits, so that a log that was lost counts as missing
    /// and logs below the bound suffice once all entries are known.
    pub has_runs: bool,
    /// Whether an order that was given up can't reach the platform any more.
    pub has_order_deadline: bool,
    /// Whether instances resume replicas that are found paused after a replacement.
    pub has_recheck: bool,
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
            has_bound: true,
            has_runs: true,
            has_order_deadline: true,
            has_recheck: true,
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
    /// Whether the reply to a commit carries the end of the primary's log instead of the commit's own
    /// position.
    pub has_ends: bool,
    /// Servers that end for good or lose their log. More than one may take an acknowledged commit with
    /// them.
    pub losses: u8,
    /// Whether a crashed server may be back with its log under another id at its address, in place of the
    /// server that joins.
    pub has_moves: bool,
    /// Whether an order may reach the platform after its sender has given it up.
    pub has_delayed_orders: bool,
    /// Whether commands to servers may be carried out after their sender has given them up.
    pub has_late_commands: bool,
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
            has_ends: false,
            losses: 0,
            has_moves: false,
            has_delayed_orders: false,
            has_late_commands: false,
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
            has_ends: false,
            losses: 0,
            has_moves: false,
            has_delayed_orders: false,
            has_late_commands: false,
        }
    }
}
