//! The evacuated zones as known to one instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use clock::Time;

use crate::evacuation::Transition;

/// Set in all confirmation numbers that cover an evacuation, so that these exceed every revision
/// number: an instance without evacuations never takes one for an older revision.
const EVACUATION_BIT: u64 = 1 << 63;

/// One evacuated zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Evacuation {
    /// When open transactions at the zone's servers are rolled back.
    deadline: Time,
    /// The era of the store in which the zone's row was last seen.
    era: u64,
}

/// The evacuated zones as known to one instance.
///
/// The row of a zone in the store is the evacuation. A row that is missing after the store returned
/// from an older copy may have been written after that copy, so its zone stays evacuated until the
/// operator has written the row again and removes it; instances can't write such rows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<Arc<str>, Evacuation>,
    /// When this instance noticed the end of each zone's last evacuation.
    ended: BTreeMap<Arc<str>, Time>,
}

impl Evacuations {
    /// Applies all rows as read in an era of the store; `deadline` applies to zones that were not
    /// known to be evacuated.
    pub fn on_snapshot(
        &mut self,
        now: Time,
        deadline: Time,
        era: u64,
        zones: &BTreeSet<Arc<str>>,
    ) -> Vec<Transition> {
        let missing: Vec<Arc<str>> = self
            .zones
            .iter()
            .filter(|(zone, evacuation)| !zones.contains(*zone) && evacuation.era >= era)
            .map(|(zone, _)| Arc::clone(zone))
            .collect();
        let ended = missing.iter().filter_map(|zone| self.on_removed(now, zone));
        let mut transitions: Vec<Transition> = ended.collect();
        transitions.extend(
            zones
                .iter()
                .filter_map(|zone| self.on_row(deadline, era, zone)),
        );
        transitions
    }

    /// Applies a zone's row, which was written or read in an era of the store.
    pub fn on_row(&mut self, deadline: Time, era: u64, zone: &Arc<str>) -> Option<Transition> {
        if let Some(known) = self.zones.get_mut(zone) {
            known.era = known.era.max(era);
            return None;
        }
        let evacuation = Evacuation { deadline, era };
        self.zones.insert(Arc::clone(zone), evacuation);
        Some(Transition {
            zone: Arc::clone(zone),
            is_evacuated: true,
        })
    }

    /// Applies the removal of a zone's row.
    pub fn on_removed(&mut self, now: Time, zone: &Arc<str>) -> Option<Transition> {
        self.zones.remove(zone)?;
        self.ended.insert(Arc::clone(zone), now);
        Some(Transition {
            zone: Arc::clone(zone),
            is_evacuated: false,
        })
    }

    /// Returns the evacuated zones whose rows have not been seen in an era of the store.
    pub fn unrecorded(&self, era: u64) -> Vec<Arc<str>> {
        let zones = self.zones.iter();
        zones
            .filter(|(_, evacuation)| evacuation.era < era)
            .map(|(zone, _)| Arc::clone(zone))
            .collect()
    }

    /// Returns the number of evacuated zones.
    pub fn count(&self) -> usize {
        self.zones.len()
    }

    /// Returns whether a zone is evacuated.
    pub fn covers(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Returns when open transactions at a zone's servers are rolled back; `None` if the zone isn't
    /// evacuated.
    pub fn deadline(&self, zone: &str) -> Option<Time> {
        self.zones.get(zone).map(|evacuation| evacuation.deadline)
    }

    /// Returns when this instance noticed the end of a zone's last evacuation.
    pub fn ended(&self, zone: &str) -> Option<Time> {
        self.ended.get(zone).copied()
    }

    /// Returns the number by which instances confirm to each other that `revision` and the
    /// evacuations in force are the store's newest; the revision number if no zone is evacuated.
    ///
    /// The eras are part of it: an instance must see the rows that were written again after a return
    /// of the store, since it would otherwise keep a zone evacuated whose row is removed later.
    pub fn number(&self, revision: u64) -> u64 {
        if self.zones.is_empty() {
            return revision;
        }
        let mut hasher = DefaultHasher::new();
        revision.hash(&mut hasher);
        for (zone, evacuation) in &self.zones {
            zone.hash(&mut hasher);
            evacuation.era.hash(&mut hasher);
        }
        hasher.finish() | EVACUATION_BIT
    }

    /// Returns whether another instance's number confirms that `revision` and the evacuations known
    /// here are the newest.
    ///
    /// Without evacuations, an older revision confirms a newer one.
    pub fn are_confirmed_by(&self, revision: u64, number: u64) -> bool {
        if self.zones.is_empty() {
            number <= revision
        } else {
            number == self.number(revision)
        }
    }
}
