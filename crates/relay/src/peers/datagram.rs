//! The datagrams that instances exchange.

use std::net::SocketAddr;
use std::sync::Arc;

use account::rate;
use endpoint::Position;
use serde::Deserialize;
use serde::Serialize;

use crate::balance::Counts;
use crate::peers::Change;
use crate::peers::Report;
use crate::peers::Topic;

/// An acknowledged commit younger than this shows that commits aren't stuck; a stuck one is older.
const RECENT_COMMIT_AGE_MS: u64 = 700;

/// The version of the datagrams that this build sends; it grows whenever a message is added.
const VERSION: u32 = 3;

/// A datagram between two instances.
///
/// Messages are only added as the last variant and never change, so that builds of two versions can run
/// side by side; docs/design/upgrades.md has the rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The name of the sending instance.
    pub from: Arc<str>,
    /// The payload.
    pub payload: Payload,
}

impl Datagram {
    /// Encodes the datagram, followed by the version. Builds before version 1 ignore what follows.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_stdvec(self)?;
        postcard::to_extend(&VERSION, bytes)
    }

    /// Decodes a datagram and its version, which is 0 if none follows; what comes after it is ignored.
    ///
    /// Fails for a message that this build does not know.
    pub fn decode(bytes: &[u8]) -> Result<(Self, u32), postcard::Error> {
        let (datagram, rest) = postcard::take_from_bytes(bytes)?;
        if rest.is_empty() {
            return Ok((datagram, 0));
        }
        let (version, _) = postcard::take_from_bytes(rest)?;
        Ok((datagram, version))
    }
}

/// The payload of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A message of the accounts' rate limiter.
    Rate(rate::Message),
    /// Requests the receiver's view of a group.
    GetView {
        /// Returned with the view.
        id: u64,
        /// The group.
        group: Arc<str>,
    },
    /// The sender's load in statements answered per second.
    Load(u64),
    /// Requests the next confirmation by the store.
    GetConfirmation {
        /// Returned with the response.
        id: u64,
        /// What is to be confirmed.
        topic: Topic,
    },
    /// Reports what the store confirmed.
    Confirmed {
        /// The number of the query.
        id: u64,
        /// What was confirmed.
        topic: Topic,
        /// The newest revision of the settings, or a number that stands for the rows of another
        /// topic.
        revision: u64,
        /// Milliseconds from the arrival of the query to the start of the call by which the store
        /// confirmed the revision; negative if the call began first.
        since_ms: i64,
    },
    /// Requests that the receiver stops relying on a group's leader, which is being replaced.
    RevokeLeaderLease {
        /// Returned with the response.
        id: u64,
        /// The group.
        group: Arc<str>,
        /// The fencing token of the replacement.
        token: u64,
    },
    /// Confirms that the sender stopped relying on a group's leader.
    LeaderLeaseRevoked {
        /// The number of the request.
        id: u64,
    },
    /// Requests the leaders' positions.
    GetReports {
        /// Returned with the response.
        id: u64,
        /// The sender's load in statements answered per second.
        load: u64,
    },
    /// Reports the leaders' positions; a response may consist of several of these.
    Reports {
        /// The number of the query.
        id: u64,
        /// The mean load of the instances that query the sender.
        mean_load: u64,
        /// The positions.
        reports: Vec<Report>,
    },
    /// Announces a group's new leader.
    NewLeader {
        /// The group.
        group: Arc<str>,
        /// The server.
        server: Arc<str>,
    },
    /// The sender's view of a group.
    View {
        /// The number of the query.
        id: u64,
        /// The view.
        view: View,
    },
    /// Requests the servers' entries that differ from those that the sender knows.
    GetEntries {
        /// Returned with the response.
        id: u64,
        /// The digest of the entries that the sender knows.
        known: u64,
    },
    /// The servers' entries that differ from those that the receiver knows; a response may consist
    /// of several of these.
    Entries {
        /// The number of the request.
        id: u64,
        /// The number of this part, from zero.
        part: u32,
        /// The number of parts.
        count: u32,
        /// The store's version up to which the sender knows the entries.
        version: u64,
        /// The digest of all entries that the sender knows.
        digest: u64,
        /// Whether the parts together hold all entries rather than the changed ones.
        is_full: bool,
        /// The entries; `None` stands for a removed one.
        changes: Vec<Change>,
    },
    /// The requests of the sender that servers have not answered; sent before `GetReports` where
    /// connections are scarce.
    ServerLoads(Counts),
    /// The same for all instances but the receiver; sent after `Reports`.
    FleetLoads {
        /// The number of the query.
        id: u64,
        /// The requests by server.
        counts: Counts,
    },
    /// Requests that the receiver demotes a group's primary, which the sender replaces and doesn't
    /// reach.
    DemoteLeader {
        /// Returned with the response.
        id: u64,
        /// The group.
        group: Arc<str>,
        /// The primary.
        server: Arc<str>,
        /// The term of the demotion; a primary of this term or a later one stays.
        term: u64,
    },
    /// Reports that the primary of a `DemoteLeader` leads no more.
    LeaderDemoted {
        /// The number of the request.
        id: u64,
        /// The last position of its log.
        received: Position,
    },
    /// Requests that the receiver acknowledges no commit of a group before the replacement of its
    /// leader is settled.
    EndReliance {
        /// Returned with the response.
        id: u64,
        /// The group.
        group: Arc<str>,
        /// The fencing token of the replacement.
        token: u64,
    },
    /// Confirms an `EndReliance`.
    RelianceEnded {
        /// The number of the request.
        id: u64,
        /// The highest position of a commit acknowledged through the sender.
        acknowledged: Position,
    },
    /// Announces that the sender's replacement of a group's leader is settled.
    ReplacementSettled {
        /// The group.
        group: Arc<str>,
        /// The fencing token of the replacement.
        token: u64,
        /// The address of the server that leads.
        leader: Option<SocketAddr>,
        /// The token of the latest replacement that may have changed the leader.
        reign: u64,
        /// A position that the log of the server promoted by that replacement had reached before.
        end: Option<Position>,
    },
}

/// An instance's view of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Whether the instance probes leaders itself.
    pub is_prober: bool,
    /// The leader, if one proved its leadership to the instance recently.
    pub leader: Option<Arc<str>>,
    /// The newest term known to the instance.
    pub term: u64,
    /// The highest fencing token of the group known to the instance.
    pub token: u64,
    /// The highest position of a commit acknowledged through the instance.
    pub acknowledged: Position,
    /// Milliseconds since the instance sent the last commit that was acknowledged.
    pub commit_age_ms: u64,
}

impl View {
    /// Returns whether `server` proved its leadership to the instance recently.
    pub fn confirms(&self, server: Option<&Arc<str>>) -> bool {
        self.leader.is_some() && self.leader.as_ref() == server
    }

    /// Returns whether a commit that the instance sent recently was acknowledged.
    pub fn has_recent_commit(&self) -> bool {
        self.leader.is_some() && self.commit_age_ms < RECENT_COMMIT_AGE_MS
    }
}
