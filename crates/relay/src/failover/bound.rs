//! The highest position in a reply that acknowledged a commit, and who received that reply.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use endpoint::Position;

/// Who received the reply with a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// This instance.
    Own,
    /// The instance at this address, which told so in its view of the group.
    View(SocketAddr),
    /// The instance of this name, which told so when it gave up its leader lease.
    Release(Arc<str>),
}

impl fmt::Display for Source {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Own => formatter.write_str("own"),
            Self::View(address) => write!(formatter, "view:{address}"),
            Self::Release(instance) => write!(formatter, "release:{instance}"),
        }
    }
}

/// The highest position in a reply that acknowledged a commit, and who received that reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bound {
    /// The position.
    pub position: Position,
    /// Who received the reply.
    pub source: Source,
}

impl Bound {
    /// Opens the bound known to this instance alone.
    pub fn open(position: Position) -> Self {
        Self {
            position,
            source: Source::Own,
        }
    }

    /// Raises the bound to `position`; returns whether it was lower.
    pub fn raise(&mut self, position: Position, source: Source) -> bool {
        let is_raised = position > self.position;
        if is_raised {
            *self = Self { position, source };
        }
        is_raised
    }
}
