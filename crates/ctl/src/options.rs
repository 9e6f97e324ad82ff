//! What the operator asked for.

use std::path::PathBuf;
use std::time::Duration;

use admin::Filter;

/// One run of the program.
#[derive(Clone, Debug)]
pub struct Options {
    /// The administration interfaces, as IP number and port; at least one.
    pub admin: Vec<String>,
    /// The operator's token.
    pub token: String,
    /// Whether to print JSON.
    pub is_json: bool,
    /// Whether to wait until a change is in force.
    pub is_waiting: bool,
    /// How long to wait for that.
    pub wait_timeout: Duration,
    /// The id of the change, if the operator chose it.
    pub id: Option<String>,
    /// The revision that the change is made against, if the operator chose it.
    pub base: Option<u64>,
    /// Whether to only check the change.
    pub is_dry_run: bool,
    /// What to do.
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the tree or a part of it.
    TreeGet {
        /// The part.
        path: Option<String>,
    },
    /// Replace the tree.
    TreeApply {
        /// The file with the new tree.
        file: PathBuf,
    },
    /// Compare the tree with a file.
    TreeDiff {
        /// The file.
        file: PathBuf,
    },
    /// Set one value.
    Set {
        /// Where.
        path: String,
        /// JSON or a text.
        value: String,
    },
    /// Make a key.
    KeyGrant {
        /// The client account.
        account: String,
    },
    /// Withdraw a key.
    KeyWithdraw {
        /// The client account.
        account: String,
        /// The key's id.
        key: String,
    },
    /// Tell what became of a change.
    Change {
        /// Its id.
        id: String,
    },
    /// List the groups.
    Groups,
    /// Move a group's primary role.
    Handover {
        /// The group.
        group: String,
    },
    /// Send nothing more to the servers of a zone, or take that back.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether to take it back.
        is_undo: bool,
    },
    /// List the zones.
    Status,
    /// List the instances.
    Instances,
    /// List the database servers.
    Endpoints,
    /// List the sessions.
    Sessions,
    /// Print events.
    Timeline {
        /// Whether to go on as they come.
        is_following: bool,
        /// Which ones.
        filter: Filter,
    },
}
