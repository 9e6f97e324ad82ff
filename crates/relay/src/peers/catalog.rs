//! The servers' entries as an instance that reads the store passes them on to others.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use crate::peers::Payload;
use crate::settings::Server;

/// Maximum encoded size of the changes in one datagram. With the sender's name, the header and the
/// authentication code it stays below `DATAGRAM_BYTES_MAX`.
const CHANGE_BYTES_MAX: usize = 1_100;
/// Number of earlier states for which the changes since then are known. An instance is rarely more
/// than one or two changes behind; to one further behind, all entries are sent.
const HISTORY_MAX: usize = 8;

/// Servers' entries by name.
pub type Entries = BTreeMap<Arc<str>, Server>;

/// An entry that differs from an earlier state; `None` if it was removed.
pub type Change = (Arc<str>, Option<Server>);

/// Returns a number that is the same at all instances that know the same entries.
pub fn digest(entries: &Entries) -> u64 {
    let mut hasher = DefaultHasher::new();
    entries.hash(&mut hasher);
    hasher.finish()
}

/// The newest entries read from the store, and some earlier states of them.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The store's version up to which the entries are known.
    version: u64,
    /// The states with their digests, oldest first.
    history: VecDeque<(u64, Entries)>,
}

impl Catalog {
    /// Records the entries that the store held at `version`.
    pub fn record(&mut self, version: u64, entries: &Entries) {
        self.version = version;
        let digest = digest(entries);
        if self.history.back().is_some_and(|(last, _)| *last == digest) {
            return;
        }
        self.history.push_back((digest, entries.clone()));
        if self.history.len() > HISTORY_MAX {
            self.history.pop_front();
        }
    }

    /// Answers an instance whose entries have the digest `known`: with the changes since then, or
    /// with all entries if that state isn't known. Returns nothing if there is nothing to send, or
    /// if an entry is too large for a datagram; the instance then reads the store.
    pub fn answer(&self, id: u64, known: u64) -> Vec<Payload> {
        let Some((digest, newest)) = self.history.back() else {
            return Vec::new();
        };
        let base = self.history.iter().find(|(digest, _)| *digest == known);
        let none = Entries::new();
        let changes = changes(base.map_or(&none, |(_, entries)| entries), newest);
        let Some(parts) = split(changes) else {
            return Vec::new();
        };
        let Ok(count) = u32::try_from(parts.len()) else {
            return Vec::new();
        };
        (0..count)
            .zip(parts)
            .map(|(part, changes)| Payload::Entries {
                id,
                part,
                count,
                version: self.version,
                digest: *digest,
                is_full: base.is_none(),
                changes,
            })
            .collect()
    }
}

fn changes(before: &Entries, after: &Entries) -> Vec<Change> {
    let removed = before.keys().filter(|name| !after.contains_key(*name));
    let changed = after
        .iter()
        .filter(|(name, entry)| before.get(*name) != Some(*entry));
    removed
        .map(|name| (Arc::clone(name), None))
        .chain(changed.map(|(name, entry)| (Arc::clone(name), Some(entry.clone()))))
        .collect()
}

/// Splits changes into datagrams; `None` if one of them is too large.
fn split(changes: Vec<Change>) -> Option<Vec<Vec<Change>>> {
    let mut parts = vec![Vec::new()];
    let mut used = 0;
    for change in changes {
        let bytes = postcard::to_stdvec(&change).ok()?.len();
        if bytes > CHANGE_BYTES_MAX {
            return None;
        }
        if used + bytes > CHANGE_BYTES_MAX {
            parts.push(Vec::new());
            used = 0;
        }
        used += bytes;
        parts.last_mut()?.push(change);
    }
    Some(parts)
}
