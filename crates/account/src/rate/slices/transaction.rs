//! The transactions on the rows; all that a transaction relies on is among its conditions.

use std::collections::BTreeMap;
use std::sync::Arc;

use store::Condition;
use store::Write;

use crate::rate::EPOCH_KEY;
use crate::rate::Row;
use crate::rate::slices::plan::Takeover;
use crate::rate::slices::tenure::Known;
use crate::rate::slices::view::View;

/// Conditions and writes of one transaction.
#[derive(Debug)]
pub(super) struct Transaction {
    pub conditions: Vec<Condition>,
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Replaces the own row and changes the rows that are taken over.
    pub fn renew(
        key: &Arc<str>,
        known: Option<&Known>,
        row: &Row,
        view: &View,
        takeovers: &BTreeMap<Arc<str>, Takeover>,
    ) -> Self {
        let mut out = Self {
            conditions: vec![expect(key, known.map(|known| known.version))],
            writes: vec![put(key, encode(row))],
        };
        // Slices that come from rows are guarded by the versions of these.
        let guarded = takeovers.iter().fold(
            known.map_or(0, |known| known.row.slices()),
            |slices, (key, takeover)| slices | takeover.freed(&view.rows[key].row),
        );
        if row.slices() & !guarded != 0 {
            out.next_epoch(view);
        }
        for (key, takeover) in takeovers {
            let seen = &view.rows[key];
            out.conditions.push(expect(key, Some(seen.version)));
            out.writes.push(match takeover {
                Takeover::All => delete(key),
                Takeover::Mobile => {
                    let mut rest = seen.row.clone();
                    rest.mobile = 0;
                    rest.lapsed = true;
                    put(key, encode(&rest))
                }
            });
        }
        out
    }

    /// Deletes the own row.
    pub fn remove(key: &Arc<str>, known: &Known, view: &View) -> Self {
        let mut out = Self {
            conditions: vec![expect(key, Some(known.version))],
            writes: vec![delete(key)],
        };
        out.next_epoch(view);
        out
    }

    /// Makes the transaction fail if any free slice was taken since the rows were read.
    fn next_epoch(&mut self, view: &View) {
        let key = Arc::from(EPOCH_KEY);
        self.conditions.push(expect(&key, view.epoch));
        self.writes.push(put(&key, Arc::from("{}")));
    }
}

fn encode(row: &Row) -> Arc<str> {
    Arc::from(serde_json::to_string(row).expect("a row is plain data"))
}

fn expect(key: &Arc<str>, version: Option<u64>) -> Condition {
    let key = Arc::clone(key);
    match version {
        None => Condition::Absent { key },
        Some(version) => Condition::Version { key, version },
    }
}

fn put(key: &Arc<str>, value: Arc<str>) -> Write {
    Write::Put {
        key: Arc::clone(key),
        value,
    }
}

fn delete(key: &Arc<str>) -> Write {
    Write::Delete {
        key: Arc::clone(key),
    }
}
