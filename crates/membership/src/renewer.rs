//! How an instance takes, renews and gives back its own lease.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use store::Condition;
use store::Error;
use store::Outcome;
use store::Row;
use store::Write;

use crate::Lease;
use crate::Phase;
use crate::instance_key;

/// Renewals that fit into one lease.
const RENEWALS_PER_LEASE: u64 = 4;
/// The shortest pause after a failed renewal.
const RETRY_DELAY_MIN: Span = Span::from_millis(200);

/// A transaction on an instance's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Deletes a row if it still has a version.
    pub(crate) fn delete(key: Arc<str>, version: u64) -> Self {
        Self {
            conditions: vec![Condition::Version {
                key: Arc::clone(&key),
                version,
            }],
            writes: vec![Write::Delete { key }],
        }
    }
}

/// The instance's own lease.
///
/// Only one renewal is under way at a time.
#[derive(Debug)]
pub struct Renewer {
    /// As last written or about to be written.
    lease: Lease,
    /// The duration that the next renewal writes; the one under way counts by what it wrote.
    next_lease_ms: u64,
    /// The row's version as last read or written; `None` if it is not known to exist.
    version: Option<u64>,
    /// When the row must be read before the next renewal.
    is_read_required: bool,
    /// The lease is held until then; counted from the start of the renewal.
    valid_until: Time,
    /// When the next renewal is due.
    due: Time,
    /// Failed renewals since the last good one.
    failures: u32,
    /// True once another process has taken the row; never false again.
    is_replaced: bool,
}

impl Renewer {
    /// Opens a renewer; its first step is to read the row.
    pub fn open(lease: Lease) -> Self {
        Self {
            next_lease_ms: lease.lease_ms,
            lease,
            version: None,
            is_read_required: true,
            valid_until: Time::ZERO,
            due: Time::ZERO,
            failures: 0,
            is_replaced: false,
        }
    }

    /// Returns the lease as it is written.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns when to renew next.
    pub fn due(&self) -> Time {
        if self.is_replaced {
            Time::NEVER
        } else {
            self.due
        }
    }

    /// Returns true if the row must be read before the next renewal.
    pub fn is_read_required(&self) -> bool {
        self.is_read_required
    }

    /// Returns true while the lease is certain to be held.
    pub fn is_valid(&self, now: Time) -> bool {
        !self.is_replaced && now < self.valid_until
    }

    /// Returns until when the lease is held, unless it is renewed.
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// Returns true once another process has taken the row; this one must stop.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Takes over how long the lease lasts, from the next renewal on.
    pub fn set_lease_ms(&mut self, lease_ms: u64) {
        self.next_lease_ms = lease_ms;
    }

    /// Announces that the instance is stopping; the next renewal tells the others.
    pub fn leave(&mut self, now: Time) {
        self.lease.phase = Phase::Leaving;
        self.due = self.due.min(now);
    }

    /// Takes the row that was read, `None` if there is none.
    ///
    /// Before the first renewal a row of an earlier life is taken over. Later a row of another
    /// life means that this process was replaced.
    pub fn on_row(&mut self, row: Option<&Row>) {
        self.is_read_required = false;
        let other_life = row
            .and_then(Lease::read)
            .is_some_and(|lease| lease.life != self.lease.life);
        let has_held = self.valid_until > Time::ZERO;
        if other_life && has_held {
            self.is_replaced = true;
        }
        self.version = row.map(|row| row.version);
    }

    /// Returns the transaction that renews the lease.
    pub fn renewal(&mut self, revision: u64) -> Transaction {
        assert!(
            !self.is_read_required,
            "the row is read before it is renewed"
        );
        self.lease.revision = revision;
        self.lease.lease_ms = self.next_lease_ms;
        let key = instance_key(&self.lease.name);
        Transaction {
            conditions: vec![self.row_unchanged()],
            writes: vec![Write::Put {
                key,
                value: self.lease.to_text(),
            }],
        }
    }

    /// Returns the transaction that gives the lease back.
    pub fn release(&self) -> Transaction {
        Transaction {
            conditions: vec![self.row_unchanged()],
            writes: vec![Write::Delete {
                key: instance_key(&self.lease.name),
            }],
        }
    }

    /// Takes the answer to a renewal that was started at `started`; `jitter` is from 0 to 999.
    pub fn on_outcome(
        &mut self,
        started: Time,
        now: Time,
        outcome: &Result<Outcome, Error>,
        jitter: u64,
    ) {
        match outcome {
            Ok(Outcome::Committed { version }) => {
                self.version = Some(*version);
                self.failures = 0;
                let lease = Span::from_millis(self.lease.lease_ms);
                self.valid_until = self.valid_until.max(started + lease);
                self.due = now + jittered(self.renewal_interval(), jitter);
            }
            Ok(Outcome::Conflict { rows }) => {
                self.on_row(rows.first());
                self.due = now;
            }
            Err(error) => {
                self.is_read_required |= matches!(error, Error::Unknown { .. });
                self.failures = self.failures.saturating_add(1);
                self.due = now + jittered(self.retry_delay(), jitter);
            }
        }
    }

    /// Takes note that the row could not be read; `jitter` is from 0 to 999.
    pub fn on_read_failed(&mut self, now: Time, jitter: u64) {
        self.failures = self.failures.saturating_add(1);
        self.due = now + jittered(self.retry_delay(), jitter);
    }

    fn renewal_interval(&self) -> Span {
        Span::from_millis(self.lease.lease_ms / RENEWALS_PER_LEASE)
    }

    /// Doubles with each failure, up to one lease.
    fn retry_delay(&self) -> Span {
        let doubled = RETRY_DELAY_MIN.as_millis() << self.failures.min(16);
        Span::from_millis(doubled.min(self.lease.lease_ms.max(RETRY_DELAY_MIN.as_millis())))
    }

    fn row_unchanged(&self) -> Condition {
        let key: Arc<str> = instance_key(&self.lease.name);
        match self.version {
            None => Condition::Absent { key },
            Some(version) => Condition::Version { key, version },
        }
    }
}

/// Returns from half of a span up to the whole of it.
fn jittered(span: Span, jitter: u64) -> Span {
    assert!(jitter < 1_000, "jitter is from 0 to 999");
    let half = span.as_micros() / 2;
    Span::from_micros(half + half / 1_000 * jitter)
}
