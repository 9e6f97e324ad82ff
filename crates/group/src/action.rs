//! What a view asks its caller to do.

use std::sync::Arc;

use timeline::Event;

use crate::Row;

/// A request of the view to the process around it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin a status query at every server now.
    PollServers,
    /// Begin a status query at every server and a read of the group's row now.
    PollAll,
    /// Ask every live peer for `View::is_primary_alive`, and give the answers to `View::on_votes`.
    AskPeers {
        /// The term whose primary is suspected.
        term: u64,
    },
    /// Write the row if there is none; report to `View::on_commit_result`.
    Create {
        /// The first row.
        row: Row,
    },
    /// Write the row if it still has the expected version; report to `View::on_commit_result`.
    Commit {
        /// The version that was read.
        expected: u64,
        /// The new row.
        row: Row,
    },
    /// List all instance rows, lapsed ones too, and report to `View::on_instances`.
    ListInstances,
    /// Send the row to these peers' `View::on_announced`, and report each answer to
    /// `View::on_acknowledged`.
    Announce {
        /// The names of the instances; empty for every live peer, whose answers do not matter.
        instances: Vec<Arc<str>>,
        /// The ordered row.
        row: Row,
        /// The row's version.
        version: u64,
    },
    /// Order a server to become the primary of a term; its status tells whether it did.
    Promote {
        /// The server's name.
        endpoint: Arc<str>,
        /// The term.
        term: u64,
    },
    /// Record an event in the time line.
    Event(Event),
}
