//! The highest position in a reply that acknowledged a commit, and who received that reply.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;

/// A replica that confirms commits has written its entry within this time: it does so when it starts
/// and, should that fail, at its next heartbeat after 1.2 s.
const REGISTRATION_TIME: Span = Span::from_millis(1_500);

/// Who received the reply with a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// This instance.
    Own,
    /// The instance at this address, which told so in its view of the group.
    View(SocketAddr),
    /// An instance that replaced the primary before, which recorded it in the table.
    Row,
    /// The instance of this name, which told so when it gave up its leader lease.
    Release(Arc<str>),
}

impl fmt::Display for Source {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Own => formatter.write_str("own"),
            Self::Row => formatter.write_str("row"),
            Self::View(address) => write!(formatter, "view:{address}"),
            Self::Release(instance) => write!(formatter, "release:{instance}"),
        }
    }
}

/// The highest position in a reply that acknowledged a commit, and who received that reply.
///
/// The position is that of the end of the server's log when it replied, so it may exceed that of every
/// acknowledged commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bound {
    /// The position.
    pub position: Position,
    /// Who received the reply.
    pub source: Source,
    /// When the replicas that confirmed these commits have written their entries, if they still run.
    pub registered_by: Time,
}

impl Bound {
    /// Opens the bound known to this instance alone, which received its last such reply at `last`.
    pub fn open(position: Position, last: Option<Time>) -> Self {
        Self {
            position,
            source: Source::Own,
            registered_by: last.map_or_else(Time::default, |last| last + REGISTRATION_TIME),
        }
    }

    /// Applies that another instance received replies up to `position` by `at`.
    pub fn raise(&mut self, position: Position, source: Source, at: Time) {
        if position == Position::default() {
            // It has received none.
            return;
        }
        // Of two replies with the same position, the later one may acknowledge a later commit.
        self.registered_by = self.registered_by.max(at + REGISTRATION_TIME);
        if position > self.position {
            self.position = position;
            self.source = source;
        }
    }
}
