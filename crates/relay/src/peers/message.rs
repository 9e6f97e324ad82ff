//! What instances tell each other.

use std::sync::Arc;

use account::rate;
use endpoint::Position;
use serde::Deserialize;
use serde::Serialize;

/// A commit younger than this shows that commits are not stuck; one that is stuck is older.
const COMMIT_AGE_MS: u64 = 700;

/// A datagram between two instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: Arc<str>,
    /// The payload.
    pub payload: Payload,
}

/// What a datagram holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// About the accounts' rates.
    Rate(rate::Message),
    /// Asks how the receiver sees a group.
    Ask {
        /// Goes back with the opinion.
        id: u64,
        /// The group.
        group: Arc<str>,
    },
    /// How many statements a second the sender answers.
    Load(u64),
    /// Asks for the next confirmation of the settings by the store.
    Confirm {
        /// Goes back with the answer.
        id: u64,
    },
    /// The store confirmed the settings.
    Confirmed {
        /// The number of the question.
        id: u64,
        /// The newest revision.
        revision: u64,
        /// Milliseconds from the arrival of the question to the start of the call by which the
        /// store confirmed the revision; negative if the call had begun before.
        since_ms: i64,
    },
    /// Who leads a group since a moment ago.
    Leader {
        /// The group.
        group: Arc<str>,
        /// The server.
        server: Arc<str>,
    },
    /// How the sender sees a group.
    Opinion {
        /// The number of the question.
        id: u64,
        /// The opinion.
        opinion: Opinion,
    },
}

/// How an instance sees a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opinion {
    /// The leader that answered it lately; `None` if none did.
    pub leader: Option<Arc<str>>,
    /// The newest term that it knows.
    pub term: u64,
    /// The highest position of a commit that was acknowledged through it.
    pub acknowledged: Position,
    /// Milliseconds since it sent the last commit that was acknowledged.
    pub commit_age_ms: u64,
}

impl Opinion {
    /// Returns whether a commit that the sender sent lately was acknowledged.
    pub fn has_committed_lately(&self) -> bool {
        self.leader.is_some() && self.commit_age_ms < COMMIT_AGE_MS
    }
}
