//! Counts of the calls to the platform's store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::node::lock;

/// The labels of a call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, EncodeLabelSet)]
pub(super) struct Label {
    /// The kind of call.
    call: &'static str,
    /// The kind of rows.
    what: &'static str,
}

/// Counts of the calls to the platform's store, by kind of call and of rows.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    family: Family<Label, Counter>,
    /// The counters in use, which a family doesn't list.
    counters: Arc<Mutex<BTreeMap<Label, Counter>>>,
}

impl Calls {
    /// Counts a call.
    pub fn count(&self, call: &'static str, what: &'static str) {
        let label = Label { call, what };
        let mut counters = lock(&self.counters);
        let counter = counters
            .entry(label.clone())
            .or_insert_with(|| self.family.get_or_create(&label).clone());
        counter.inc();
    }

    /// Returns the number of calls.
    pub fn total(&self) -> u64 {
        lock(&self.counters).values().map(Counter::get).sum()
    }

    /// Returns the counts as text for the log, such as `list-slices:7,commit-slices:5`.
    pub fn summary(&self) -> String {
        let counters = lock(&self.counters);
        let parts: Vec<String> = counters
            .iter()
            .map(|(label, counter)| format!("{}-{}:{}", label.call, label.what, counter.get()))
            .collect();
        parts.join(",")
    }

    /// Returns the counters for the registry.
    pub(super) fn family(&self) -> Family<Label, Counter> {
        self.family.clone()
    }
}
