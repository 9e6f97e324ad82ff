//! The initial floor of a session that moves from another instance without its token.

use clock::Time;
use endpoint::Position;

use crate::Floor;

/// The next step of a session without a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The floor is known and reads may start.
    Ready(Floor),
    /// Start a status query of the primary and pass `View::confirmed` to `on_confirmed`.
    QueryPrimary,
}

/// Determines the initial floor in one group for a session without a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bootstrap {
    /// When the session was opened on this instance.
    arrived: Time,
    /// Set only from a query of the primary that started at or after `arrived`.
    floor: Option<Floor>,
}

impl Bootstrap {
    /// Starts without a floor, for a session opened at `arrived`.
    pub fn open(arrived: Time) -> Self {
        Self {
            arrived,
            floor: None,
        }
    }

    /// Handles the start time and position of the latest confirmed query of the primary.
    ///
    /// A query that started before `arrived` may miss the session's last write and is ignored.
    pub fn on_confirmed(&mut self, started: Time, position: Position) {
        if started >= self.arrived && self.floor.is_none() {
            self.floor = Some(Floor::at(position));
        }
    }

    /// Returns the next step.
    pub fn step(&self) -> Step {
        match self.floor {
            Some(floor) => Step::Ready(floor),
            None => Step::QueryPrimary,
        }
    }
}
