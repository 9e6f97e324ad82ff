//! The decisions by which a change is accepted once, or refused.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use store::Condition;
use store::Outcome;
use store::Row;
use store::Write;

use crate::Change;
use crate::Error;
use crate::Fault;
use crate::Snapshot;
use crate::apply;
use crate::record;
use crate::record::Head;
use crate::record::RECENT_CHANGES;
use crate::record::Record;

/// Rounds of reading and committing before an edit gives up.
const ROUNDS_MAX: u32 = 6;
/// Bytes of a change's id.
const ID_BYTES: usize = 64;

/// What to do next for an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read these rows one after the other, in this order, then call [`Edit::on_rows`].
    Read {
        /// The rows' keys.
        keys: Vec<Arc<str>>,
    },
    /// Commit this transaction, then call [`Edit::on_outcome`].
    Commit {
        /// What must hold.
        conditions: Vec<Condition>,
        /// What is written.
        writes: Vec<Write>,
    },
    /// Nothing; this is the final answer.
    Done(Answer),
}

/// The final answer to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The change has been accepted and will never be reverted.
    Accepted {
        /// What is kept of it.
        record: Record,
        /// The tree that it led to; `None` if it was found to have been accepted earlier.
        snapshot: Option<Snapshot>,
    },
    /// A dry run: the change would have been accepted.
    Acceptable {
        /// The tree that it would have led to.
        snapshot: Snapshot,
    },
    /// The change was made against another revision; nothing was done.
    Conflict {
        /// The revision that the table holds.
        revision: u64,
        /// The changes since the base, as far as records are kept.
        since: Vec<Record>,
    },
    /// The change is wrong; nothing was done.
    Refused {
        /// Why.
        faults: Vec<Fault>,
    },
    /// The id belongs to another change; nothing was done.
    Reused {
        /// What is kept of that one.
        record: Record,
    },
    /// The table holds an older revision than is in force; nothing was done.
    Behind {
        /// The revision in the table.
        table: u64,
        /// The revision in force.
        held: u64,
    },
    /// Nothing was done, for a reason that may pass.
    NotDone {
        /// The cause.
        why: String,
    },
    /// The change may or may not have been accepted: repeat it with the same id.
    Unknown {
        /// The cause.
        why: String,
    },
}

/// One change on its way into the table.
///
/// A change is written only on top of the tree row that it was checked against, and only if its
/// id has no row yet. So it takes effect at most once, however often it is tried.
#[derive(Debug)]
pub struct Edit {
    change: Change,
    /// The revision that the instance acts on; the table must not be behind it.
    held: u64,
    wall_ms: u64,
    dry_run: bool,
    rounds: u32,
    /// True once a commit's answer was lost and nothing has settled it since.
    in_doubt: bool,
    /// What the commit under way would lead to.
    proposed: Option<(Record, Snapshot)>,
}

impl Edit {
    /// Begins an edit at an instance that holds revision `held`.
    pub fn begin(change: Change, held: u64, wall_ms: u64, dry_run: bool) -> (Self, Step) {
        let mut edit = Self {
            change,
            held,
            wall_ms,
            dry_run,
            rounds: 0,
            in_doubt: false,
            proposed: None,
        };
        let step = match edit.fault_of_id() {
            Some(fault) => Step::Done(Answer::Refused {
                faults: vec![fault],
            }),
            None => edit.read(),
        };
        (edit, step)
    }

    /// Takes the rows that were read; a missing row is left out.
    pub fn on_rows(&mut self, rows: Result<BTreeMap<Arc<str>, Row>, store::Error>) -> Step {
        match rows {
            Err(error) => self.read_failed(&error.to_string()),
            Ok(rows) => match self.decide(&rows) {
                Ok(step) => step,
                Err(error) => self.give_up(&error.to_string()),
            },
        }
    }

    /// Takes the answer to a commit.
    pub fn on_outcome(&mut self, outcome: Result<Outcome, store::Error>) -> Step {
        match outcome {
            Ok(Outcome::Committed { .. }) => {
                let (record, snapshot) = self.proposed.take().expect("a commit was under way");
                Step::Done(Answer::Accepted {
                    record,
                    snapshot: Some(snapshot),
                })
            }
            Ok(Outcome::Conflict { .. }) => self.read(),
            Err(error @ store::Error::Refused { .. }) => self.give_up(&error.to_string()),
            Err(store::Error::Unknown { .. }) => {
                self.in_doubt = true;
                self.read()
            }
        }
    }

    /// Reads the tree before the change's row.
    ///
    /// If the tree has moved on and the row, read later, is missing, then no earlier commit of
    /// this change can take effect any more, since its condition on the tree row has failed.
    fn read(&mut self) -> Step {
        if self.rounds == ROUNDS_MAX {
            return self.give_up("the table's rows kept changing or its answers were lost");
        }
        self.rounds += 1;
        Step::Read {
            keys: vec![
                Arc::from(record::RECENT),
                Arc::from(record::TREE),
                record::change_key(&self.change.id),
            ],
        }
    }

    fn read_failed(&mut self, why: &str) -> Step {
        if self.in_doubt && self.rounds < ROUNDS_MAX {
            return self.read();
        }
        self.give_up(why)
    }

    fn give_up(&self, why: &str) -> Step {
        let why = why.to_owned();
        Step::Done(if self.in_doubt {
            Answer::Unknown { why }
        } else {
            Answer::NotDone { why }
        })
    }

    fn decide(&mut self, rows: &BTreeMap<Arc<str>, Row>) -> Result<Step, Error> {
        if let Some(row) = rows.get(&record::change_key(&self.change.id)) {
            return Ok(self.found(Record::read(row)?));
        }
        let tree_row = rows.get(record::TREE);
        let recent_row = rows.get(record::RECENT);
        let current = Snapshot::read_row(tree_row)?;
        let recent = record::read_recent(recent_row)?;
        if let Some(record) = recent.iter().find(|record| record.id == self.change.id) {
            return Ok(self.found(record.clone()));
        }
        if current.revision < self.held {
            return Ok(Step::Done(Answer::Behind {
                table: current.revision,
                held: self.held,
            }));
        }
        if current.revision != self.change.base {
            return Ok(Step::Done(self.conflict(current.revision, recent)));
        }
        let tree = match apply(&current.tree()?, &self.change) {
            Ok(tree) => tree,
            Err(Error::Faulty { faults }) => return Ok(Step::Done(Answer::Refused { faults })),
            Err(error) => return Ok(self.give_up(&error.to_string())),
        };
        let snapshot = Snapshot::of(current.revision + 1, &self.change.id, &tree);
        assert!(
            snapshot.revision > self.held,
            "a change never leads to a revision in force"
        );
        if self.dry_run {
            return Ok(Step::Done(Answer::Acceptable { snapshot }));
        }
        let record = Record::of(&self.change, snapshot.revision, self.wall_ms);
        let step = commit(tree_row, recent_row, recent, &record, &snapshot);
        self.proposed = Some((record, snapshot));
        Ok(step)
    }

    fn found(&self, record: Record) -> Step {
        Step::Done(if record.is_of(&self.change) {
            Answer::Accepted {
                record,
                snapshot: None,
            }
        } else {
            Answer::Reused { record }
        })
    }

    fn conflict(&self, revision: u64, recent: Vec<Record>) -> Answer {
        let base = self.change.base;
        let since = recent
            .into_iter()
            .filter(|record| record.revision > base)
            .collect();
        Answer::Conflict { revision, since }
    }

    fn fault_of_id(&self) -> Option<Fault> {
        let id = &self.change.id;
        let right = (1..=ID_BYTES).contains(&id.len())
            && id
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        let allowed = format!("1 to {ID_BYTES} letters, digits, '-', '_' and '.'");
        (!right).then(|| Fault::new("id", &serde_json::Value::from(id.as_ref()), allowed))
    }
}

/// Returns the transaction that puts back the revision in force, if the table is behind it.
///
/// This happens after the table was restored from an older state; an accepted change must not
/// be lost by that.
pub fn restore(tree_row: Option<&Row>, held: &Snapshot) -> Option<Step> {
    let table = Snapshot::read_row(tree_row).ok()?;
    if table.revision >= held.revision {
        return None;
    }
    Some(Step::Commit {
        conditions: vec![unchanged(record::TREE, tree_row)],
        writes: put_snapshot(held),
    })
}

fn commit(
    tree_row: Option<&Row>,
    recent_row: Option<&Row>,
    mut recent: Vec<Record>,
    record: &Record,
    snapshot: &Snapshot,
) -> Step {
    let id_key = record::change_key(&record.id);
    let conditions = vec![
        unchanged(record::TREE, tree_row),
        unchanged(record::RECENT, recent_row),
        Condition::Absent {
            key: Arc::clone(&id_key),
        },
    ];
    recent.push(record.clone());
    let surplus = recent.len().saturating_sub(RECENT_CHANGES);
    let dropped: Vec<Record> = recent.drain(..surplus).collect();
    let mut writes = put_snapshot(snapshot);
    writes.push(put(record::RECENT, record::text(&recent)));
    writes.push(put(&id_key, record::text(record)));
    writes.extend(dropped.iter().map(|old| Write::Delete {
        key: record::change_key(&old.id),
    }));
    Step::Commit { conditions, writes }
}

fn put_snapshot(snapshot: &Snapshot) -> Vec<Write> {
    vec![
        put(record::HEAD, record::text(&Head::of(snapshot))),
        put(record::TREE, Arc::from(snapshot.to_text())),
    ]
}

fn put(key: &str, value: Arc<str>) -> Write {
    Write::Put {
        key: Arc::from(key),
        value,
    }
}

fn unchanged(key: &str, row: Option<&Row>) -> Condition {
    let key = Arc::from(key);
    match row {
        None => Condition::Absent { key },
        Some(row) => Condition::Version {
            key,
            version: row.version,
        },
    }
}
