//! Servers' entries that this instance requested from one that reads the store.

use std::collections::BTreeMap;

use crate::peers::catalog::Change;
use crate::peers::catalog::Entries;
use crate::peers::catalog::digest;

/// The answer to a request for entries, complete with all its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The store's version up to which the entries are known.
    pub version: u64,
    /// The digest of all entries after the changes.
    pub digest: u64,
    /// Whether `changes` holds all entries.
    pub is_full: bool,
    /// The changed entries.
    pub changes: Vec<Change>,
}

impl Update {
    /// Returns `entries` with the changes applied; `None` if the result isn't what the sender holds,
    /// or if it is older than the store's version `version`, up to which `entries` are known.
    pub fn apply_to(&self, entries: &Entries, version: u64) -> Option<Entries> {
        if self.version < version {
            return None;
        }
        let mut next = match self.is_full {
            true => Entries::new(),
            false => entries.clone(),
        };
        for (name, entry) in &self.changes {
            match entry {
                Some(entry) => next.insert(name.clone(), entry.clone()),
                None => next.remove(name),
            };
        }
        (digest(&next) == self.digest).then_some(next)
    }
}

/// A request for entries, and the parts of its answer that have arrived.
///
/// Parts may be lost, repeated or late: only parts of the latest request count, and they must agree
/// in all but their changes.
#[derive(Clone, Debug, Default)]
pub struct Transfer {
    next_id: u64,
    /// The number of the latest request, until it is answered.
    outstanding: Option<u64>,
    /// The number of parts, what they agree in, and the changes by part.
    parts: Option<(u32, Update, BTreeMap<u32, Vec<Change>>)>,
    update: Option<Update>,
}

impl Transfer {
    /// Opens the requests of one run of an instance, whose numbers start at its `incarnation`.
    pub fn open(incarnation: u64) -> Self {
        Self {
            next_id: incarnation,
            ..Self::default()
        }
    }

    /// Starts a request and returns its number; an earlier request is abandoned.
    pub fn request(&mut self) -> u64 {
        self.next_id = self.next_id.wrapping_add(1);
        self.outstanding = Some(self.next_id);
        self.parts = None;
        self.update = None;
        self.next_id
    }

    /// Applies a part of an answer with `count` parts; returns whether the answer is complete now.
    pub fn on_part(&mut self, id: u64, part: u32, count: u32, update: Update) -> bool {
        if self.outstanding != Some(id) || part >= count {
            return false;
        }
        let changes = update.changes;
        let header = Update {
            changes: Vec::new(),
            ..update
        };
        let (known_count, known, parts) = self
            .parts
            .get_or_insert_with(|| (count, header.clone(), BTreeMap::new()));
        if *known_count != count || *known != header {
            return false;
        }
        parts.insert(part, changes);
        if parts.len() < count as usize {
            return false;
        }
        let changes = std::mem::take(parts).into_values().flatten().collect();
        self.update = Some(Update { changes, ..header });
        self.outstanding = None;
        self.parts = None;
        true
    }

    /// Takes the answer to the latest request, once it is complete.
    pub fn take(&mut self) -> Option<Update> {
        self.update.take()
    }
}
