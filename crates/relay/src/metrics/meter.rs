//! Counts the calls of an interface to the store.

use std::sync::Arc;
use std::time::Duration;

use account::rate::ROW_PREFIX;
use async_trait::async_trait;
use store::Batch;
use store::Condition;
use store::Delta;
use store::Error;
use store::Outcome;
use store::Progress;
use store::Row;
use store::Table;
use store::Watch;
use store::Write;

use crate::failover::Lease;
use crate::metrics::Calls;

/// The kinds of the table's rows by the prefix of their keys; the first match counts.
const KINDS: [(&str, &str); 4] = [
    (ROW_PREFIX, "slices"),
    (Lease::PREFIX, "leaders"),
    ("group/", "groups"),
    ("fleet/", "fleet"),
];

/// Counts the calls of an interface to the store and passes them on.
pub struct Meter<S: ?Sized> {
    inner: Arc<S>,
    calls: Calls,
    /// The kind of rows; of a table's rows, the key tells the kind.
    what: &'static str,
}

impl<S: ?Sized> Meter<S> {
    /// Opens a meter before `inner`, whose rows are of the kind `what`.
    pub fn open(inner: &Arc<S>, calls: &Calls, what: &'static str) -> Arc<Self> {
        Arc::new(Self {
            inner: Arc::clone(inner),
            calls: calls.clone(),
            what,
        })
    }

    fn count_key(&self, call: &'static str, key: &str) {
        let kind = KINDS.iter().find(|(prefix, _)| key.starts_with(prefix));
        self.calls
            .count(call, kind.map_or(self.what, |kind| kind.1));
    }
}

#[async_trait]
impl Table for Meter<dyn Table> {
    fn era(&self) -> u64 {
        self.inner.era()
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        self.count_key("get", key);
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        self.count_key("list", prefix);
        self.inner.list(prefix).await
    }

    async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<Outcome, Error> {
        let key = writes.first().map_or("", |write| match write {
            Write::Put { key, .. } | Write::Delete { key } => key,
        });
        self.count_key("commit", key);
        self.inner.commit(conditions, writes).await
    }
}

#[async_trait]
impl<T: Send + Sync + 'static> Watch<T> for Meter<dyn Watch<T>> {
    async fn read(&self, progress: &Progress) -> Result<Batch<T>, Error> {
        self.calls.count("read", self.what);
        self.inner.read(progress).await
    }

    async fn follow(
        &self,
        after: u64,
        wait: Duration,
        progress: &Progress,
    ) -> Result<Delta<T>, Error> {
        self.calls.count("follow", self.what);
        self.inner.follow(after, wait, progress).await
    }
}
