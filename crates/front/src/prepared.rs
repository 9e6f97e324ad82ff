//! The prepared statements and portals of one session.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use endpoint::Column;
use endpoint::Description;
use endpoint::Reply;
use sql::Statement;

use crate::Limits;
use crate::Refusal;

/// A prepared statement.
#[derive(Clone, Debug)]
pub struct Prepared {
    /// The statement; `None` for an empty text.
    pub statement: Option<Statement>,
    /// The parameters' types as the client gave them, 0 where it gave none.
    pub types: Vec<u32>,
    /// What the session said about it, once it was asked.
    pub description: Option<Arc<Description>>,
}

/// A statement with its values.
#[derive(Clone, Debug)]
pub struct Portal {
    /// The statement; `None` for an empty text.
    pub statement: Option<Statement>,
    /// The parameters' types.
    pub types: Vec<u32>,
    /// The parameters' values, in binary format.
    pub values: Vec<Option<Bytes>>,
    /// The formats that the client wants: none for text, one for all, or one a column.
    pub formats: Vec<i16>,
    /// What the session said about the statement, once it was asked.
    pub description: Option<Arc<Description>>,
    /// How far it has run.
    pub progress: Progress,
}

/// How far a portal has run.
#[derive(Clone, Debug, Default)]
pub enum Progress {
    /// It has not run.
    #[default]
    Fresh,
    /// It ran; these rows are not sent yet, each value in the client's format.
    Rows {
        /// The answer without its rows.
        reply: Reply,
        /// The rows that are left, in order.
        left: VecDeque<Vec<Option<Bytes>>>,
    },
    /// It ran and all rows are sent.
    Done,
}

impl Portal {
    /// Returns the format of a column: 0 for text, 1 for binary.
    pub fn format(&self, index: usize) -> i16 {
        format_at(&self.formats, index)
    }

    /// Returns the columns that are wanted as text.
    pub fn text_columns<'a>(&'a self, columns: &'a [Column]) -> impl Iterator<Item = &'a Column> {
        let all = columns.iter().enumerate();
        all.filter(|(index, _)| self.format(*index) == 0)
            .map(|(_, column)| column)
    }

    /// Returns true if every column is wanted as text.
    pub fn wants_text_only(&self) -> bool {
        self.formats.iter().all(|format| *format == 0)
    }

    fn bytes(&self) -> usize {
        let values = self.values.iter().flatten();
        values.map(Bytes::len).sum::<usize>() + text_bytes(self.statement.as_ref())
    }
}

/// The prepared statements and portals of one session, within limits.
#[derive(Debug)]
pub struct Store {
    limits: Limits,
    prepared: BTreeMap<String, Prepared>,
    portals: BTreeMap<String, Portal>,
    /// An extended query has begun and its `Sync` has not come.
    pub in_batch: bool,
    /// An error occurred; everything up to `Sync` is skipped.
    pub skipping: bool,
    /// The proxy began a transaction around the statements before `Sync`.
    pub in_transaction: bool,
}

impl Store {
    /// Returns an empty store.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            prepared: BTreeMap::new(),
            portals: BTreeMap::new(),
            in_batch: false,
            skipping: false,
            in_transaction: false,
        }
    }

    /// Keeps a prepared statement; only the one without a name may be replaced.
    pub fn prepare(&mut self, name: &str, prepared: Prepared) -> Result<(), Refusal> {
        if !name.is_empty() && self.prepared.contains_key(name) {
            let message = format!("prepared statement \"{name}\" already exists");
            return Err(Refusal::error("42P05", message).not_run(None));
        }
        self.prepared.insert(name.to_owned(), prepared);
        if self.within_limits() {
            return Ok(());
        }
        self.prepared.remove(name);
        Err(too_many())
    }

    /// Keeps a portal; only the one without a name may be replaced.
    pub fn bind(&mut self, name: &str, portal: Portal) -> Result<(), Refusal> {
        if !name.is_empty() && self.portals.contains_key(name) {
            let message = format!("cursor \"{name}\" already exists");
            return Err(Refusal::error("42P03", message).not_run(None));
        }
        self.portals.insert(name.to_owned(), portal);
        if self.within_limits() {
            return Ok(());
        }
        self.portals.remove(name);
        Err(too_many())
    }

    /// Returns a prepared statement.
    pub fn prepared(&mut self, name: &str) -> Result<&mut Prepared, Refusal> {
        self.prepared.get_mut(name).ok_or_else(|| {
            let message = format!("prepared statement \"{name}\" does not exist");
            Refusal::error("26000", message).not_run(None)
        })
    }

    /// Returns a portal.
    pub fn portal(&mut self, name: &str) -> Result<&mut Portal, Refusal> {
        self.portals.get_mut(name).ok_or_else(|| {
            let message = format!("portal \"{name}\" does not exist");
            Refusal::error("34000", message).not_run(None)
        })
    }

    /// Forgets a prepared statement.
    pub fn close_prepared(&mut self, name: &str) {
        self.prepared.remove(name);
    }

    /// Forgets a portal.
    pub fn close_portal(&mut self, name: &str) {
        self.portals.remove(name);
    }

    /// Forgets all portals, at the end of a transaction.
    pub fn close_portals(&mut self) {
        self.portals.clear();
    }

    /// Forgets the statement and the portal without names, as a simple query does.
    pub fn forget_unnamed(&mut self) {
        self.prepared.remove("");
        self.portals.remove("");
    }

    /// Ends an extended query.
    pub fn sync(&mut self) {
        self.in_batch = false;
        self.skipping = false;
    }

    fn within_limits(&self) -> bool {
        let texts = self.prepared.values();
        let texts: usize = texts.map(|kept| text_bytes(kept.statement.as_ref())).sum();
        let portals: usize = self.portals.values().map(Portal::bytes).sum();
        self.prepared.len() <= self.limits.prepared
            && self.portals.len() <= self.limits.prepared
            && texts + portals <= self.limits.prepared_bytes
    }
}

/// Returns the format at a place of a list: none stands for text, one for all.
pub fn format_at(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        each => each.get(index).copied().unwrap_or(0),
    }
}

fn text_bytes(statement: Option<&Statement>) -> usize {
    statement.map_or(0, |statement| statement.text.len())
}

fn too_many() -> Refusal {
    let message = "too many prepared statements or portals; close those no longer needed";
    Refusal::error("53400", message).not_run(None)
}
