//! A request for the rows' versions, and the parts of its answer that have arrived.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::rate::Version;
use crate::rate::Versions;

/// The versions of all rows as another instance read them.
#[derive(Clone, Debug)]
pub(super) struct Passed {
    /// A time not later than the start of the read.
    pub read_at: Time,
    pub epoch: Option<u64>,
    pub versions: Vec<Version>,
}

/// A request for the rows' versions, and the parts of its answer that have arrived.
///
/// Parts may be lost, repeated or late; they count only if they agree on the read.
#[derive(Clone, Debug)]
pub(super) struct Inquiry {
    id: u64,
    reader: Arc<str>,
    sent_at: Time,
    /// The first part that arrived.
    first: Option<Versions>,
    parts: BTreeMap<u32, Vec<Version>>,
}

impl Inquiry {
    /// Opens a request that is being sent to `reader`.
    pub fn open(now: Time, id: u64, reader: &Arc<str>) -> Self {
        Self {
            id,
            reader: Arc::clone(reader),
            sent_at: now,
            first: None,
            parts: BTreeMap::new(),
        }
    }

    /// Returns when the request was sent.
    pub fn sent_at(&self) -> Time {
        self.sent_at
    }

    /// Applies a part of the answer; returns the answer once it is complete.
    pub fn on_versions(&mut self, from: &str, part: Versions) -> Option<Passed> {
        if part.id != self.id || from != &*self.reader || part.part >= part.count {
            return None;
        }
        let first = self.first.get_or_insert_with(|| part.clone());
        if (first.count, first.age_us, first.epoch) != (part.count, part.age_us, part.epoch) {
            return None;
        }
        self.parts.insert(part.part, part.versions);
        if self.parts.len() < part.count as usize {
            return None;
        }
        Some(Passed {
            // The answer's age counts from the arrival of the request, which is later.
            read_at: self.sent_at - Span::from_micros(part.age_us),
            epoch: part.epoch,
            versions: self.parts.values().flatten().copied().collect(),
        })
    }
}
