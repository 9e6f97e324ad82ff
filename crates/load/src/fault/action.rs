//! The steps of a fault plan.

use std::time::Duration;

/// Something that happens at a time of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When, from the start of the run.
    pub at: Duration,
    /// What.
    pub action: Action,
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Kills a group's primary.
    KillPrimary {
        /// Index of the group.
        group: usize,
    },
    /// Starts the server that was killed.
    RestartServer {
        /// Index of the group.
        group: usize,
    },
    /// Cuts the zone of a group's primary off from the other zones, but not from the platform.
    IsolatePrimary {
        /// Index of the group.
        group: usize,
    },
    /// Heals what `IsolatePrimary` cut.
    RejoinPrimary {
        /// Index of the group.
        group: usize,
    },
    /// Sets the replication lag of all groups.
    Lag {
        /// Milliseconds.
        ms: u64,
    },
    /// Cuts a zone off from the other zones and the platform, or heals that.
    Zone {
        /// Index of the zone.
        zone: usize,
        /// True to cut, false to heal.
        cut: bool,
    },
    /// Takes the platform's service down, or brings it back.
    TableDown {
        /// True to take it down.
        down: bool,
    },
    /// Slows the platform's service.
    TableSlow {
        /// Milliseconds for each call.
        ms: u64,
    },
    /// Loses answers of the platform's service.
    LoseAnswers {
        /// The share of changes, from 0 to 1.
        probability: f64,
        /// The seed of the draw.
        seed: u64,
    },
    /// Withdraws an account's key.
    WithdrawKey {
        /// Index of the account.
        account: usize,
    },
    /// Two operators submit conflicting changes at once.
    Race {
        /// Counts the races of a run.
        number: u32,
    },
    /// An operator orders a hand-over of a group's primary role.
    Handover {
        /// Index of the group.
        group: usize,
    },
    /// The roster says that a group's primary is leaving.
    Leave {
        /// Index of the group.
        group: usize,
    },
    /// The script sends a signal to an instance.
    Signal {
        /// Index of the instance.
        instance: usize,
        /// The signal's name.
        signal: &'static str,
    },
    /// The script starts an instance, after its old process has ended.
    Start {
        /// Index of the instance.
        instance: usize,
    },
}

impl Action {
    /// Returns true if the script carries it out, since only it may start and stop processes.
    pub fn is_of_script(&self) -> bool {
        matches!(self, Self::Signal { .. } | Self::Start { .. })
    }
}
