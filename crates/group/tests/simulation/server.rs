//! A simulated database server with a log.

use endpoint::Position;
use endpoint::Role;
use endpoint::Status;

/// The identifier of the record that begins a term.
pub const TERM_START: u64 = 0;

/// A log record: its term and the write's identifier.
pub type Record = (u64, u64);

/// A server that follows the primary of the highest term that it can reach.
pub struct Server {
    pub up: bool,
    pub role: Role,
    pub log: Vec<Record>,
    pub applied: usize,
    /// The number of records that it fetches and applies at a time.
    pub steps: usize,
    /// Microseconds added to each answer.
    pub slow: u64,
}

impl Server {
    pub fn new(role: Role) -> Self {
        Self {
            up: true,
            role,
            log: vec![(1, TERM_START)],
            applied: 1,
            steps: 8,
            slow: 0,
        }
    }

    /// Comes back with its whole log; a replica has applied only a part of it again.
    pub fn restart(&mut self) {
        self.up = true;
        if self.role == Role::Replica {
            self.applied = (self.applied / 2).max(1);
        }
    }

    pub fn term(&self) -> u64 {
        self.log.last().map_or(0, |(term, _)| *term)
    }

    pub fn status(&self) -> Status {
        Status {
            role: self.role,
            received: position(&self.log),
            applied: position(&self.log[..self.applied]),
        }
    }

    pub fn write(&mut self, id: u64) -> Position {
        self.log.push((self.term(), id));
        self.applied = self.log.len();
        position(&self.log)
    }

    /// Becomes the primary of `term`, unless it is a primary or has seen that term.
    pub fn promote(&mut self, term: u64) -> bool {
        if self.role == Role::Primary || term <= self.term() {
            return false;
        }
        self.log.push((term, TERM_START));
        self.applied = self.log.len();
        self.role = Role::Primary;
        true
    }

    /// Copies records of the primary's log, after truncating its own where the two diverge.
    pub fn follow(&mut self, log: &[Record]) {
        if self.log.len() == log.len() && self.log.last() == log.last() {
            self.applied = self.log.len().min(self.applied + self.steps);
            return;
        }
        let common = self
            .log
            .iter()
            .zip(log)
            .take_while(|(own, other)| own == other)
            .count();
        let rewinds_a_term = common < self.log.len() && self.log[common - 1].0 < self.term();
        let rejoins = self.role == Role::Primary;
        self.role = Role::Replica;
        self.log.truncate(common);
        let fetched = if rewinds_a_term || rejoins {
            log.len()
        } else {
            log.len().min(common + self.steps)
        };
        self.log.extend(&log[common..fetched]);
        self.applied = self.applied.min(common);
        self.applied = self.log.len().min(self.applied + self.steps);
    }

    pub fn holds(&self, id: u64) -> bool {
        self.log.iter().any(|record| record.1 == id)
    }

    pub fn shows(&self, id: u64) -> bool {
        self.log[..self.applied].iter().any(|record| record.1 == id)
    }
}

fn position(log: &[Record]) -> Position {
    Position {
        term: log.last().map_or(0, |(term, _)| *term),
        offset: u64::try_from(log.len()).unwrap_or(u64::MAX),
    }
}
