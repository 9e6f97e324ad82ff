//! The floors of a session, by group.

use std::collections::BTreeMap;
use std::sync::Arc;

use endpoint::Position;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Floor;

/// The floor of a session in each group that it has used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floors {
    /// A floor is never lowered or removed.
    groups: BTreeMap<Arc<str>, Floor>,
}

impl Floors {
    /// Returns the floor in a group, or the lowest position if the session has not used the group.
    pub fn get(&self, group: &str) -> Floor {
        self.groups.get(group).copied().unwrap_or_default()
    }

    /// Iterates over all groups and their floors.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, Floor)> {
        self.groups.iter().map(|(group, floor)| (group, *floor))
    }

    /// Raises the floor in a group to `position` and returns whether it changed.
    ///
    /// The first position of a group always counts as a change.
    pub fn raise(&mut self, group: &str, position: Position) -> bool {
        if let Some(floor) = self.groups.get_mut(group) {
            return floor.raise(position);
        }
        self.groups.insert(Arc::from(group), Floor::at(position));
        true
    }

    /// Raises each floor to the floor in `other` if that is higher.
    pub fn merge(&mut self, other: &Self) {
        for (group, floor) in other.iter() {
            self.raise(group, floor.position());
        }
    }

    /// Checks that the floor in a group is not ahead of `known`, a confirmed position of the group.
    ///
    /// `known` must come from a query that started after the floor was received.
    ///
    /// # Errors
    ///
    /// Returns [`Error::AheadOfGroup`] if the group has not reached the floor.
    pub fn check(&self, group: &str, known: Position) -> Result<(), Error> {
        let floor = self.get(group);
        if floor.is_satisfied_by(known) {
            return Ok(());
        }
        Err(Error::AheadOfGroup {
            group: Arc::from(group),
            floor: floor.position(),
            known,
        })
    }

    /// Raises the floor to `after`, the position of `endpoint` after a read, and returns whether it
    /// changed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::BehindFloor`] if `after` is below the floor; the read's result must then be
    /// discarded.
    pub fn observe(&mut self, group: &str, endpoint: &str, after: Position) -> Result<bool, Error> {
        let floor = self.get(group);
        if !floor.is_satisfied_by(after) {
            return Err(Error::BehindFloor {
                group: Arc::from(group),
                endpoint: Arc::from(endpoint),
                seen: after,
                floor: floor.position(),
            });
        }
        Ok(self.raise(group, after))
    }
}
