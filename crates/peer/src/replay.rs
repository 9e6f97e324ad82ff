//! Replay protection for requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Maximum number of ids remembered per sender; older ids are rejected as replays.
const IDS_MAX: usize = 4_096;

/// Maximum number of sender incarnations that are remembered.
const SENDERS_MAX: usize = 8_192;

/// The received requests by sender and incarnation.
#[derive(Debug, Default)]
pub struct Window {
    /// At most `SENDERS_MAX` entries.
    senders: BTreeMap<(Arc<str>, u64), Received>,
}

#[derive(Debug, Default)]
struct Received {
    /// All ids up to this one are rejected.
    floor: u64,
    /// The received ids above `floor`, at most `IDS_MAX`.
    ids: BTreeSet<u64>,
}

impl Window {
    /// Records a request; returns false if it is a replay.
    pub fn accept(&mut self, from: &Arc<str>, incarnation: u64, id: u64) -> bool {
        if self.senders.len() >= SENDERS_MAX {
            self.senders.pop_first();
        }
        let received = self
            .senders
            .entry((Arc::clone(from), incarnation))
            .or_default();
        if id <= received.floor || !received.ids.insert(id) {
            return false;
        }
        if received.ids.len() > IDS_MAX {
            received.floor = received.ids.pop_first().unwrap_or(received.floor);
        }
        true
    }
}
