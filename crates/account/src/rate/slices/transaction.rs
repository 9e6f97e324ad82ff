//! Transactions on the rows. Each lists everything that it relies on in its conditions.

use std::collections::BTreeMap;
use std::sync::Arc;

use store::Condition;
use store::Write;

use crate::rate::EPOCH_KEY;
use crate::rate::Row;
use crate::rate::slices::lease::Confirmed;
use crate::rate::slices::plan::Takeover;
use crate::rate::slices::view::View;

/// Conditions and writes of one transaction.
#[derive(Debug)]
pub(super) struct Transaction {
    pub conditions: Vec<Condition>,
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Writes the own row and takes over the given rows.
    pub fn renew(
        key: &Arc<str>,
        confirmed: Option<&Confirmed>,
        row: &Row,
        view: &View,
        takeovers: &BTreeMap<Arc<str>, Takeover>,
    ) -> Self {
        let mut out = Self {
            conditions: vec![expect(key, confirmed.map(|confirmed| confirmed.version))],
            writes: vec![put(key, encode(row))],
        };
        // Slices from the own row or from taken-over rows are guarded by the versions of these
        // rows.
        let guarded = takeovers.iter().fold(
            confirmed.map_or(0, |confirmed| confirmed.row.slices()),
            |slices, (key, takeover)| slices | takeover.freed(&view.rows[key].row),
        );
        if row.slices() & !guarded != 0 {
            out.bump_epoch(view);
        }
        for (key, takeover) in takeovers {
            let observed = &view.rows[key];
            out.conditions.push(expect(key, Some(observed.version)));
            out.writes.push(match takeover {
                Takeover::All => delete(key),
                Takeover::Mobile => {
                    let mut lapsed = observed.row.clone();
                    lapsed.mobile = 0;
                    lapsed.lapsed = true;
                    put(key, encode(&lapsed))
                }
            });
        }
        out
    }

    /// Deletes the own row.
    pub fn remove(key: &Arc<str>, confirmed: &Confirmed, view: &View) -> Self {
        let mut out = Self {
            conditions: vec![expect(key, Some(confirmed.version))],
            writes: vec![delete(key)],
        };
        out.bump_epoch(view);
        out
    }

    /// Makes the transaction conflict if any free slice was acquired since the rows were read.
    fn bump_epoch(&mut self, view: &View) {
        let key = Arc::from(EPOCH_KEY);
        self.conditions.push(expect(&key, view.epoch));
        self.writes.push(put(&key, Arc::from("{}")));
    }
}

fn encode(row: &Row) -> Arc<str> {
    Arc::from(serde_json::to_string(row).expect("a row serializes to JSON"))
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
