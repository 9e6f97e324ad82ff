//! The messages between the origin of a statement and the instance that runs it.

use std::collections::BTreeMap;
use std::sync::Arc;

use endpoint::Position;
use serde::Deserialize;
use serde::Serialize;

use crate::message::Definition;
use crate::message::Failure;
use crate::message::Reply;
use crate::message::State;
use crate::message::Statement;

/// The first message in each direction; it is not authenticated, but all later ones depend on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The version of the protocol.
    pub version: u32,
    /// A random number of the sender for this connection.
    pub nonce: [u8; 16],
    /// The sender's name.
    pub name: Arc<str>,
}

/// A statement to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The statement id that the caller assigned.
    pub id: Arc<str>,
    /// The account.
    pub account: Arc<str>,
    /// The caller's key.
    pub key: Arc<str>,
    /// The database, which has a route.
    pub database: Arc<str>,
    /// The statement.
    pub statement: Statement,
    /// The definition of a prepared statement.
    pub definition: Option<Definition>,
    /// The session's values.
    pub values: BTreeMap<Arc<str>, Arc<str>>,
    /// The log position of the session's latest commit.
    pub last_commit: Option<Position>,
    /// Microseconds since the statement arrived.
    pub age_us: u64,
    /// Microseconds until it must be answered.
    pub remaining_us: u64,
    /// The revision of the settings under which the origin accepted it.
    pub revision: u64,
}

/// Why a statement was declined; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Decline {
    /// The instance is stopping.
    Stopping,
    /// Its settings are older than the origin's.
    OlderSettings,
    /// It runs as many statements for others as it may.
    Full,
    /// It doesn't know whether the key is valid.
    KeyUnknown,
}

/// The end of the answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The reply, whose rows came before.
    Reply {
        /// The signature or the failure.
        outcome: Result<Option<Arc<str>>, Failure>,
        /// The log position that the server has applied.
        position: Option<Position>,
    },
    /// The statement was declined.
    Declined(Decline),
}

/// A message after the first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a `Pong`.
    Ping,
    /// Shows that the sender is alive.
    Pong,
    /// Asks the receiver to run a statement.
    Call {
        /// Returned with the answer.
        id: u64,
        /// The statement.
        call: Box<Call>,
    },
    /// Rows of a reply.
    Rows {
        /// The number of the call.
        id: u64,
        /// The rows.
        rows: Vec<Arc<str>>,
    },
    /// The end of the answer.
    End {
        /// The number of the call.
        id: u64,
        /// The end.
        end: End,
    },
}

impl Message {
    /// Returns the messages that answer a call with a reply, with about `bytes_max` bytes of rows
    /// in each.
    pub fn answer(id: u64, reply: Reply, bytes_max: usize) -> Vec<Self> {
        let mut messages = Vec::new();
        let mut rows = Vec::new();
        let mut bytes = 0;
        for row in reply.rows {
            bytes += row.len();
            rows.push(row);
            if bytes >= bytes_max {
                bytes = 0;
                let rows = std::mem::take(&mut rows);
                messages.push(Self::Rows { id, rows });
            }
        }
        if !rows.is_empty() {
            messages.push(Self::Rows { id, rows });
        }
        let end = End::Reply {
            outcome: reply.outcome,
            position: reply.position,
        };
        messages.push(Self::End { id, end });
        messages
    }
}

impl End {
    /// Returns the reply with the rows that came before, or why the statement was declined.
    pub fn into_reply(self, rows: Vec<Arc<str>>) -> Result<Reply, Decline> {
        match self {
            Self::Reply { outcome, position } => Ok(Reply {
                rows,
                outcome,
                state: State::Idle,
                position,
            }),
            Self::Declined(decline) => Err(decline),
        }
    }
}
