//! Acquiring, renewing and releasing this instance's own lease.

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

/// The number of renewals that are due within one lease duration.
const RENEWALS_PER_LEASE: u64 = 4;
/// The shortest delay before a failed renewal is retried.
const RETRY_DELAY_MIN: Span = Span::from_millis(200);

/// A conditional write of an instance's lease row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transaction {
    /// The conditions under which the writes are applied.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Deletes a row if it still has this version.
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

/// The state machine that keeps this instance's lease valid.
///
/// At most one renewal is in flight at a time.
#[derive(Debug)]
pub struct Renewer {
    /// The lease as last written, or as the renewal in flight writes it.
    lease: Lease,
    /// The duration in milliseconds that the next renewal writes.
    ///
    /// A renewal in flight keeps the duration that it wrote.
    next_lease_ms: u64,
    /// The row's version as last read or written; `None` if the row is not known to exist.
    version: Option<u64>,
    /// Whether the row must be read before the next renewal.
    is_read_required: bool,
    /// When the lease expires, counted from the start of the last successful renewal.
    valid_until: Time,
    /// When the next renewal is due.
    due: Time,
    /// The number of failures since the last successful renewal.
    failures: u32,
    /// Whether another process has taken over the row; never reset.
    is_replaced: bool,
    /// The lease duration in the row of an earlier life that the first renewal takes over.
    predecessor_lease: Span,
    /// Until when a process of an earlier life may count on its row; `None` before the first
    /// renewal.
    shared_until: Option<Time>,
}

impl Renewer {
    /// Opens a renewer, which has to read the row before the first renewal.
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
            predecessor_lease: Span::ZERO,
            shared_until: None,
        }
    }

    /// Returns the lease as last written, or as the renewal in flight writes it.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns when the next renewal is due; never, once the instance is replaced.
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

    /// Returns true while the lease is certain to be valid.
    pub fn is_valid(&self, now: Time) -> bool {
        !self.is_replaced && now < self.valid_until
    }

    /// Returns when the lease expires unless it is renewed.
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// Returns true once another process has taken over the row; this process must stop.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Returns true if this process is registered and no process of an earlier life counts on the
    /// row any more.
    ///
    /// Only then may it answer for all processes of its name: one of an earlier life may still run,
    /// and learns only at its next renewal that its row was taken over.
    pub fn is_alone(&self, now: Time) -> bool {
        self.shared_until.is_some_and(|until| now >= until)
    }

    /// Sets the lease duration in milliseconds, from the next renewal on.
    pub fn set_lease_ms(&mut self, lease_ms: u64) {
        self.next_lease_ms = lease_ms;
    }

    /// Marks the instance as leaving and makes a renewal due, which publishes the change.
    pub fn leave(&mut self, now: Time) {
        self.lease.phase = Phase::Leaving;
        self.due = self.due.min(now);
    }

    /// Applies a read of the row, which is `None` if the row does not exist.
    ///
    /// Before the first renewal, the row of an earlier life is taken over. Afterwards, a row of
    /// another life means that this process was replaced.
    pub fn on_row(&mut self, row: Option<&Row>) {
        self.is_read_required = false;
        let other = row
            .and_then(Lease::read)
            .filter(|lease| lease.life != self.lease.life);
        let has_held = self.valid_until > Time::ZERO;
        if let Some(other) = other {
            self.is_replaced |= has_held;
            let lease = Span::from_millis(other.lease_ms);
            self.predecessor_lease = self.predecessor_lease.max(lease);
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

    /// Returns the transaction that releases the lease by deleting the row.
    pub fn release(&self) -> Transaction {
        Transaction {
            conditions: vec![self.row_unchanged()],
            writes: vec![Write::Delete {
                key: instance_key(&self.lease.name),
            }],
        }
    }

    /// Applies the outcome of a renewal that began at `started`.
    ///
    /// `jitter` is from 0 to 999 and spreads the next attempt over the second half of its delay.
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
                self.shared_until
                    .get_or_insert(now + self.predecessor_lease);
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

    /// Schedules a retry after a failed read of the row; `jitter` is from 0 to 999.
    pub fn on_read_failed(&mut self, now: Time, jitter: u64) {
        self.failures = self.failures.saturating_add(1);
        self.due = now + jittered(self.retry_delay(), jitter);
    }

    fn renewal_interval(&self) -> Span {
        Span::from_millis(self.lease.lease_ms / RENEWALS_PER_LEASE)
    }

    /// Returns the retry delay, which doubles with each failure up to the lease duration.
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

/// Scales a span by a factor from one half up to one, to spread retries of several instances.
fn jittered(span: Span, jitter: u64) -> Span {
    assert!(jitter < 1_000, "jitter is from 0 to 999");
    let half = span.as_micros() / 2;
    Span::from_micros(half + half / 1_000 * jitter)
}
