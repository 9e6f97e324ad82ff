//! What is known of one instance.

use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::Heartbeat;
use crate::Lease;
use crate::Phase;

/// One instance of the fleet, as seen from here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The instance.
    pub name: Arc<str>,
    /// Its life, of which alone messages count.
    pub life: u64,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where peers reach it.
    pub address: Arc<str>,
    /// Where operators reach it.
    pub admin: Arc<str>,
    /// Whether it takes new work.
    pub phase: Phase,
    /// The latest settings revision that it said it acts on; never decreases during a life.
    pub revision: u64,
    /// When it was last heard from directly.
    pub last_heartbeat: Option<Time>,
    /// Milliseconds for which the table had been silent to it when it was last heard from.
    pub(crate) table_age_ms: Option<u64>,
    /// The version of its row that was last read; `None` if no row was seen.
    pub(crate) row_version: Option<u64>,
    /// Its lease lapses then, unless its row changes.
    pub(crate) lease_until: Time,
    /// The sequence number of its last message.
    pub(crate) sequence: Option<u64>,
}

impl Member {
    /// Describes an instance by the first version of its row that was read.
    pub(crate) fn from_lease(started: Time, lease: &Lease, version: u64) -> Self {
        Self {
            name: Arc::clone(&lease.name),
            life: lease.life,
            zone: Arc::clone(&lease.zone),
            address: Arc::clone(&lease.address),
            admin: Arc::clone(&lease.admin),
            phase: lease.phase,
            revision: lease.revision,
            last_heartbeat: None,
            table_age_ms: None,
            row_version: Some(version),
            lease_until: started + Span::from_millis(lease.lease_ms),
            sequence: None,
        }
    }

    /// Describes an instance of which no row was seen.
    pub(crate) fn from_heartbeat(now: Time, heartbeat: &Heartbeat) -> Self {
        let mut member = Self {
            name: Arc::clone(&heartbeat.name),
            life: heartbeat.life,
            zone: Arc::clone(&heartbeat.zone),
            address: Arc::clone(&heartbeat.address),
            admin: Arc::clone(&heartbeat.admin),
            phase: heartbeat.phase,
            revision: heartbeat.revision,
            last_heartbeat: None,
            table_age_ms: None,
            row_version: None,
            lease_until: Time::ZERO,
            sequence: None,
        };
        member.on_heartbeat(now, heartbeat);
        member
    }

    /// Takes over a later version of the row of the same life.
    pub(crate) fn on_renewal(&mut self, started: Time, lease: &Lease, version: u64) {
        assert!(
            self.life == lease.life,
            "a renewal belongs to the same life"
        );
        self.row_version = Some(version);
        self.lease_until = started + Span::from_millis(lease.lease_ms);
        self.revision = self.revision.max(lease.revision);
        self.address = Arc::clone(&lease.address);
        self.admin = Arc::clone(&lease.admin);
        self.phase = self.phase.max(lease.phase);
    }

    /// Takes over a message of the same life.
    pub(crate) fn on_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) {
        assert!(
            self.life == heartbeat.life,
            "a message belongs to the same life"
        );
        self.last_heartbeat = self.last_heartbeat.max(Some(now));
        self.sequence = Some(heartbeat.sequence);
        self.table_age_ms = heartbeat.table_age_ms;
        self.revision = self.revision.max(heartbeat.revision);
        self.phase = self.phase.max(heartbeat.phase);
    }

    /// Returns true if it was heard from after `silent_since`.
    pub fn has_heartbeat_since(&self, silent_since: Time) -> bool {
        self.last_heartbeat
            .is_some_and(|heard| heard > silent_since)
    }

    /// Returns true if the table had been silent to it for longer than `span`, by its own word.
    pub fn has_lost_table(&self, span: Span) -> bool {
        self.last_heartbeat.is_some() && self.table_age_ms.is_none_or(|age| age > span.as_millis())
    }

    /// Returns true while its lease holds, as far as can be told from here.
    pub fn is_leased(&self, now: Time) -> bool {
        now < self.lease_until
    }
}
