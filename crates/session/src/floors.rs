//! A session's floors in all groups.

use std::collections::BTreeMap;
use std::sync::Arc;

use endpoint::Position;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Floor;

/// A session's floor in each group that it used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floors {
    /// No floor is ever lowered or removed.
    groups: BTreeMap<Arc<str>, Floor>,
}

impl Floors {
    /// Returns the floor in a group; the lowest one if the group was not used.
    pub fn get(&self, group: &str) -> Floor {
        self.groups.get(group).copied().unwrap_or_default()
    }

    /// Returns all floors.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, Floor)> {
        self.groups.iter().map(|(group, floor)| (group, *floor))
    }

    /// Raises the floor after a write at `position`, and says whether it moved.
    pub fn raise(&mut self, group: &str, position: Position) -> bool {
        if let Some(floor) = self.groups.get_mut(group) {
            return floor.raise(position);
        }
        self.groups.insert(Arc::from(group), Floor::at(position));
        true
    }

    /// Raises each floor to that of `other` where it is lower.
    pub fn merge(&mut self, other: &Self) {
        for (group, floor) in other.iter() {
            self.raise(group, floor.position());
        }
    }

    /// Refuses a floor that lies beyond `known`, a confirmed position of the group that was asked
    /// for after the floor came in.
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

    /// Raises the floor to the position taken at `peer` after a read, and says whether it moved.
    ///
    /// After an error the read's answer must not leave.
    pub fn observe(&mut self, group: &str, peer: &str, after: Position) -> Result<bool, Error> {
        let floor = self.get(group);
        if !floor.is_satisfied_by(after) {
            return Err(Error::BehindFloor {
                group: Arc::from(group),
                peer: Arc::from(peer),
                seen: after,
                floor: floor.position(),
            });
        }
        Ok(self.raise(group, after))
    }
}
