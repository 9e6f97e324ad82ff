//! Recognition of repeated requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Identifiers kept a sender; older ones are refused as repeated.
const CAPACITY: usize = 4_096;

/// Most senders' incarnations that are kept.
const MAX_SENDERS: usize = 8_192;

/// The requests that were received, by sender and incarnation.
#[derive(Debug, Default)]
pub struct Window {
    /// Holds at most `MAX_SENDERS` senders.
    senders: BTreeMap<(Arc<str>, u64), Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    /// All identifiers up to this one are refused.
    floor: u64,
    /// Identifiers above `floor` that were received; at most `CAPACITY` of them.
    ids: BTreeSet<u64>,
}

impl Window {
    /// Returns true if the request is new, and remembers it.
    pub fn accept(&mut self, from: &Arc<str>, incarnation: u64, id: u64) -> bool {
        if self.senders.len() >= MAX_SENDERS {
            self.senders.pop_first();
        }
        let seen = self
            .senders
            .entry((Arc::clone(from), incarnation))
            .or_default();
        if id <= seen.floor || !seen.ids.insert(id) {
            return false;
        }
        if seen.ids.len() > CAPACITY {
            seen.floor = seen.ids.pop_first().unwrap_or(seen.floor);
        }
        true
    }
}
