//! What a server knows of its log.

use std::sync::Arc;

use rusqlite::Connection;
use serde::Serialize;
use tokio::time::Instant;

use super::Position;
use super::Record;
use super::Store;

/// What a server says it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows a primary.
    Replica,
}

/// A server's answer to a status query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// What the server says it is.
    pub role: Role,
    /// The last record that the server holds.
    pub received: Position,
    /// The last record that reads can see.
    pub applied: Position,
}

/// A record that the server holds.
pub(super) struct Held {
    pub(super) record: Arc<Record>,
    /// When it arrived.
    pub(super) received: Instant,
}

/// The part of a server that a lock guards.
pub(super) struct State {
    pub(super) role: Role,
    /// Never decreases; the highest term that was ever promoted or held here.
    pub(super) highest_term: u64,
    /// Offsets count from 1 without gaps and terms never decrease.
    pub(super) log: Vec<Held>,
    /// Records of `log` whose effect is in `store`; never more than there are.
    pub(super) applied: usize,
    pub(super) store: Arc<Store>,
}

impl State {
    pub(super) fn open(role: Role, store: Arc<Store>) -> Self {
        Self {
            role,
            highest_term: 0,
            log: Vec::new(),
            applied: 0,
            store,
        }
    }

    /// Appends a record and checks the order of the log.
    pub(super) fn append(&mut self, record: Arc<Record>, received: Instant) {
        let last = self.received();
        let position = record.position;
        assert_eq!(position.offset, last.offset + 1, "gap in the log");
        assert!(position.term >= last.term, "term went back in the log");
        self.highest_term = self.highest_term.max(position.term);
        self.log.push(Held { record, received });
    }

    /// Applies up to `count` records of the log.
    pub(super) fn replay(&mut self, writer: &Connection, count: usize) {
        let end = count.min(self.log.len());
        for held in &self.log[self.applied.min(end)..end] {
            self.store.replay(writer, &held.record.statements);
        }
        self.applied = self.applied.max(end);
    }

    pub(super) fn received(&self) -> Position {
        self.position_of(self.log.len())
    }

    pub(super) fn status(&self) -> Status {
        Status {
            role: self.role,
            received: self.received(),
            applied: self.position_of(self.applied),
        }
    }

    /// Returns how many records at the start of both logs are the same.
    pub(super) fn common_prefix(&self, other: &Self) -> usize {
        let mut count = self.log.len().min(other.log.len());
        while count > 0 && self.position_of(count) != other.position_of(count) {
            count -= 1;
        }
        count
    }

    fn position_of(&self, count: usize) -> Position {
        match count.checked_sub(1) {
            Some(index) => self.log[index].record.position,
            None => Position::default(),
        }
    }
}
