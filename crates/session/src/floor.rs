//! The minimum position that a session's next read must see.

use endpoint::Position;
use serde::Deserialize;
use serde::Serialize;

/// The minimum position that a session's next read of one group must see; it never decreases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Floor(Position);

impl Floor {
    /// Returns a floor at a position.
    pub fn at(position: Position) -> Self {
        Self(position)
    }

    /// Returns the position.
    pub fn position(self) -> Position {
        self.0
    }

    /// Raises the floor to `position` if that is higher, and returns whether the floor changed.
    pub fn raise(&mut self, position: Position) -> bool {
        let moved = position > self.0;
        self.0 = self.0.max(position);
        moved
    }

    /// Returns whether a server that has applied `position` has all data that the session has seen.
    pub fn is_satisfied_by(self, position: Position) -> bool {
        position >= self.0
    }
}
