//! The actions that a view requests from its caller.

use std::sync::Arc;

use timeline::Event;

use crate::Row;

/// An action that the caller of a view carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a status query of every server now.
    PollServers,
    /// Start a status query of every server and a read of the group's row now.
    PollAll,
    /// Ask every live peer for `View::is_primary_alive` and pass the answers to `View::on_votes`.
    AskPeers {
        /// The term whose primary is suspected.
        term: u64,
    },
    /// Write the row if none exists and pass the result to `View::on_commit_result`.
    Create {
        /// The first row.
        row: Row,
    },
    /// Write the row if it still has the expected version and pass the result to
    /// `View::on_commit_result`.
    Commit {
        /// The version that was read.
        expected: u64,
        /// The new row.
        row: Row,
    },
    /// List all instance rows, including those of expired leases, and pass their names to
    /// `View::on_instances`.
    ListInstances,
    /// Send the row to `View::on_announced` of these peers and pass each reply to
    /// `View::on_acknowledged`.
    Announce {
        /// The names of the instances; if empty, every live peer, whose replies are not needed.
        instances: Vec<Arc<str>>,
        /// The row that orders the promotion.
        row: Row,
        /// The row's version.
        version: u64,
    },
    /// Promote a server to the primary of a term; its later status shows whether it succeeded.
    Promote {
        /// The server's name.
        endpoint: Arc<str>,
        /// The term.
        term: u64,
    },
    /// Record an event in the timeline.
    Event(Event),
}
