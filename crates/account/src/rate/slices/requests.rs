//! Pending extensions and claims, and the consents received.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::rate::Answer;
use crate::rate::Member;
use crate::rate::slices::view::Observation;

/// An extension or claim that was sent and is not answered yet.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub elector: Member,
    pub sent_at: Time,
    /// The row version that a claim refers to, for which alone a consent is valid; `None` for an
    /// extension.
    pub version: Option<u64>,
}

/// Consents received for the takeover of one version of a row.
#[derive(Clone, Debug, Default)]
struct Consents {
    version: u64,
    granted: BTreeSet<Member>,
}

/// Pending extensions and claims, and the consents received.
#[derive(Clone, Debug, Default)]
pub(super) struct Requests {
    next_id: u64,
    open: BTreeMap<u64, Request>,
    consents: BTreeMap<Arc<str>, Consents>,
}

impl Requests {
    /// Returns an unused request id.
    pub fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Records a request that is being sent, and returns its id.
    pub fn open(&mut self, now: Time, elector: &Member, version: Option<u64>) -> u64 {
        let id = self.next_id();
        let request = Request {
            elector: elector.clone(),
            sent_at: now,
            version,
        };
        self.open.insert(id, request);
        id
    }

    /// Removes the answered request, and returns it if the elector granted it.
    pub fn take_granted(&mut self, from: &str, answer: &Answer) -> Option<Request> {
        let request = self.open.get(&answer.id)?;
        if &*request.elector.name != from || request.elector.life != answer.elector_life {
            return None;
        }
        let request = self.open.remove(&answer.id)?;
        answer.is_granted.then_some(request)
    }

    /// Records a consent, unless the row has changed since it was requested.
    pub fn on_consent(&mut self, row: &str, version: Option<u64>, elector: Member) {
        if let Some(consents) = self.consents.get_mut(row)
            && Some(consents.version) == version
        {
            consents.granted.insert(elector);
        }
    }

    /// Returns the electors of a lapsed row that have not consented yet.
    pub fn pending_electors(&mut self, key: &Arc<str>, observed: &Observation) -> Vec<Member> {
        let consents = self.consents.entry(Arc::clone(key)).or_default();
        consents.version = observed.version;
        let electors = observed.row.electors.iter();
        electors
            .filter(|elector| !consents.granted.contains(elector))
            .cloned()
            .collect()
    }

    /// Returns whether a majority of the electors has consented to the takeover of this row
    /// version.
    pub fn has_majority(&self, key: &str, observed: &Observation) -> bool {
        let Some(consents) = self.consents.get(key) else {
            return false;
        };
        let electors = observed.row.electors.iter();
        let count = electors.filter(|e| consents.granted.contains(e)).count();
        consents.version == observed.version && count > observed.row.electors.len() / 2
    }

    /// Removes requests older than `timeout`, and consents for row versions that are gone.
    pub fn tick(&mut self, now: Time, timeout: Span, rows: &BTreeMap<Arc<str>, Observation>) {
        self.open
            .retain(|_, request| now < request.sent_at + timeout);
        self.consents.retain(|key, consents| {
            rows.get(key)
                .is_some_and(|observed| observed.version == consents.version)
        });
    }
}
