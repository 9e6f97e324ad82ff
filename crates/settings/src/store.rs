//! Runs the decisions about changes against the platform's table.

use std::collections::BTreeMap;
use std::sync::Arc;

use store::Outcome;
use store::Row;
use store::Table;

use crate::Answer;
use crate::Change;
use crate::Edit;
use crate::Error;
use crate::Snapshot;
use crate::Step;
use crate::edit;
use crate::record;
use crate::record::Head;
use crate::record::Record;

/// The settings in the platform's table.
///
/// Calls wait for the table as long as it takes; callers set their own timeouts, and repeat a
/// change with the same id after one.
pub struct Store {
    table: Arc<dyn Table>,
}

impl Store {
    /// Opens the settings in a table.
    pub fn open(table: Arc<dyn Table>) -> Self {
        Self { table }
    }

    /// Submits a change at an instance that holds revision `held`.
    pub async fn submit(&self, change: Change, held: u64, wall_ms: u64, dry_run: bool) -> Answer {
        let (mut edit, mut step) = Edit::begin(change, held, wall_ms, dry_run);
        loop {
            step = match step {
                Step::Read { keys } => edit.on_rows(self.read(&keys).await),
                Step::Commit { conditions, writes } => {
                    edit.on_outcome(self.table.commit(conditions, writes).await)
                }
                Step::Done(answer) => return answer,
            };
        }
    }

    /// Reads which revision the table holds.
    pub async fn head(&self) -> Result<Head, Error> {
        let row = self.row(record::HEAD, "read settings head").await?;
        Head::read(row.as_ref())
    }

    /// Reads the whole tree.
    pub async fn snapshot(&self) -> Result<Snapshot, Error> {
        let row = self.row(record::TREE, "read settings tree").await?;
        Snapshot::read_row(row.as_ref())
    }

    /// Reads what is kept of an accepted change.
    pub async fn record(&self, id: &str) -> Result<Option<Record>, Error> {
        let row = self.row(&record::change_key(id), "read change").await?;
        row.as_ref().map(Record::read).transpose()
    }

    /// Puts the revision in force back into a table that is behind it.
    ///
    /// Returns true if it was put back.
    pub async fn restore(&self, held: &Snapshot) -> Result<bool, Error> {
        let row = self.row(record::TREE, "restore settings").await?;
        let Some(Step::Commit { conditions, writes }) = edit::restore(row.as_ref(), held) else {
            return Ok(false);
        };
        let outcome = self.table.commit(conditions, writes).await;
        let outcome = outcome.map_err(|error| unavailable("restore settings", &error))?;
        Ok(matches!(outcome, Outcome::Committed { .. }))
    }

    async fn row(&self, key: &str, step: &'static str) -> Result<Option<Row>, Error> {
        let row = self.table.get(key).await;
        row.map_err(|error| unavailable(step, &error))
    }

    async fn read(&self, keys: &[Arc<str>]) -> Result<BTreeMap<Arc<str>, Row>, store::Error> {
        let mut rows = BTreeMap::new();
        for key in keys {
            if let Some(row) = self.table.get(key).await? {
                rows.insert(Arc::clone(key), row);
            }
        }
        Ok(rows)
    }
}

fn unavailable(step: &'static str, error: &store::Error) -> Error {
    Error::Unavailable {
        step,
        why: error.to_string(),
    }
}
