//! An in-memory platform for the stand-in and for tests.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_trait::async_trait;

use crate::Condition;
use crate::Error;
use crate::Machine;
use crate::Object;
use crate::Objects;
use crate::Outcome;
use crate::Roster;
use crate::Row;
use crate::Table;
use crate::Write;
use crate::version;

/// The table's rows at one moment.
#[derive(Clone, Debug)]
pub struct Backup {
    number: u64,
    rows: BTreeMap<Arc<str>, Row>,
}

/// A platform that keeps its state in memory.
#[derive(Default)]
pub struct Memory {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    era: u64,
    /// The number of the newest version within the era, incremented by every committed transaction
    /// and every object write.
    number: u64,
    rows: BTreeMap<Arc<str>, Row>,
    objects: BTreeMap<Arc<str>, Object>,
    machines: Vec<Machine>,
}

impl Memory {
    /// Opens a platform without rows, objects or machines.
    pub fn open() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Replaces the list of machines.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        self.lock().machines = machines;
    }

    /// Copies the table.
    pub fn back_up(&self) -> Backup {
        let state = self.lock();
        Backup {
            number: state.number,
            rows: state.rows.clone(),
        }
    }

    /// Returns from an older copy: what was written since is gone, and its versions are given out
    /// again in the next era.
    pub fn restore(&self, backup: Backup) {
        let mut state = self.lock();
        state.era += 1;
        state.number = backup.number;
        state.rows = backup.rows;
        let era = state.era;
        for row in state.rows.values_mut() {
            row.version = version::join(era, version::number(row.version));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn next_version(&mut self) -> u64 {
        self.number += 1;
        self.version()
    }

    fn version(&self) -> u64 {
        version::join(self.era, self.number)
    }

    fn is_met(&self, condition: &Condition) -> bool {
        match condition {
            Condition::Absent { key } => !self.rows.contains_key(key),
            Condition::Version { key, version } => self
                .rows
                .get(key)
                .is_some_and(|row| row.version == *version),
        }
    }

    fn conflicting_rows(&self, conditions: &[Condition]) -> Vec<Row> {
        conditions
            .iter()
            .filter(|condition| !self.is_met(condition))
            .filter_map(|condition| match condition {
                Condition::Absent { key } | Condition::Version { key, .. } => self.rows.get(key),
            })
            .cloned()
            .collect()
    }

    fn apply(&mut self, write: Write) {
        match write {
            Write::Put { key, value } => {
                let row = Row {
                    key: Arc::clone(&key),
                    value,
                    version: self.version(),
                };
                self.rows.insert(key, row);
            }
            Write::Delete { key } => {
                self.rows.remove(&key);
            }
        }
    }
}

#[async_trait]
impl Table for Memory {
    fn era(&self) -> u64 {
        self.lock().era
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        Ok(self.lock().rows.get(key).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        let state = self.lock();
        let range = (Bound::Included(prefix), Bound::Unbounded);
        Ok(state
            .rows
            .range::<str, _>(range)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, row)| row.clone())
            .collect())
    }

    async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<Outcome, Error> {
        let mut state = self.lock();
        if !conditions.iter().all(|condition| state.is_met(condition)) {
            let rows = state.conflicting_rows(&conditions);
            return Ok(Outcome::Conflict { rows });
        }
        let version = state.next_version();
        for write in writes {
            state.apply(write);
        }
        Ok(Outcome::Committed { version })
    }
}

#[async_trait]
impl Objects for Memory {
    async fn get(&self, name: &str) -> Result<Option<Object>, Error> {
        Ok(self.lock().objects.get(name).cloned())
    }

    async fn put(
        &self,
        name: &str,
        body: Arc<[u8]>,
        expected: Option<u64>,
    ) -> Result<Option<u64>, Error> {
        let mut state = self.lock();
        if state.objects.get(name).map(|object| object.version) != expected {
            return Ok(None);
        }
        let version = state.next_version();
        state
            .objects
            .insert(Arc::from(name), Object { body, version });
        Ok(Some(version))
    }
}

#[async_trait]
impl Roster for Memory {
    async fn machines(&self) -> Result<Vec<Machine>, Error> {
        Ok(self.lock().machines.clone())
    }
}
