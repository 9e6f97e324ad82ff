//! A session that comes from another instance without its token.

use clock::Time;
use endpoint::Position;

use crate::Floor;

/// What a session without a token does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The floor is known; read as usual.
    Ready(Floor),
    /// Begin a status query of the primary and give `View::confirmed` to `on_confirmed`.
    QueryPrimary,
}

/// Finds the floor of a session that came without a token, in one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bootstrap {
    /// When the session came.
    arrived: Time,
    /// Only a position queried from the primary after `arrived` is put here.
    floor: Option<Floor>,
}

impl Bootstrap {
    /// Opens the search for a session that came at `arrived`.
    pub fn open(arrived: Time) -> Self {
        Self {
            arrived,
            floor: None,
        }
    }

    /// Takes the start and the position of the latest confirmed query of the primary.
    ///
    /// A query begun before the session came may miss its last write and is passed over.
    pub fn on_confirmed(&mut self, started: Time, position: Position) {
        if started >= self.arrived && self.floor.is_none() {
            self.floor = Some(Floor::at(position));
        }
    }

    /// Returns what to do next.
    pub fn step(&self) -> Step {
        match self.floor {
            Some(floor) => Step::Ready(floor),
            None => Step::QueryPrimary,
        }
    }
}
