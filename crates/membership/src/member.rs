//! One instance of the fleet, as this instance sees it.

use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::Heartbeat;
use crate::Lease;
use crate::Phase;

/// The last known state of another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The instance's name.
    pub name: Arc<str>,
    /// Its current life; heartbeats of any other life do not update this entry.
    pub life: u64,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The address of its peer listener.
    pub address: Arc<str>,
    /// The address of its admin interface.
    pub admin: Arc<str>,
    /// Whether it accepts new work.
    pub phase: Phase,
    /// The latest settings revision that it reported; never decreases during a life.
    pub revision: u64,
    /// When its last heartbeat was accepted.
    pub last_heartbeat: Option<Time>,
    /// The age in milliseconds of its last table read, as its last heartbeat reported.
    pub(crate) table_age_ms: Option<u64>,
    /// The version of its row that was last read; `None` if the table has no row of it.
    pub(crate) row_version: Option<u64>,
    /// When its lease expires, unless its row changes.
    pub(crate) lease_until: Time,
    /// The sequence number of its last heartbeat.
    pub(crate) sequence: Option<u64>,
}

impl Member {
    /// Creates the entry of an instance from the first version of its row that was read.
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

    /// Creates the entry of an instance whose row has not been read yet.
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

    /// Applies a later version of the row of the same life.
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

    /// Applies a heartbeat of the same life.
    pub(crate) fn on_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) {
        assert!(
            self.life == heartbeat.life,
            "a heartbeat belongs to the same life"
        );
        self.last_heartbeat = self.last_heartbeat.max(Some(now));
        self.sequence = Some(heartbeat.sequence);
        self.table_age_ms = heartbeat.table_age_ms;
        self.revision = self.revision.max(heartbeat.revision);
        self.phase = self.phase.max(heartbeat.phase);
    }

    /// Returns true if a heartbeat was accepted after `since`.
    pub fn has_heartbeat_since(&self, since: Time) -> bool {
        self.last_heartbeat.is_some_and(|at| at > since)
    }

    /// Returns true if its last heartbeat reported no table read within `span`.
    pub fn has_lost_table(&self, span: Span) -> bool {
        self.last_heartbeat.is_some() && self.table_age_ms.is_none_or(|age| age > span.as_millis())
    }

    /// Returns true while its lease is valid, counted from this instance's reads of the row.
    pub fn is_leased(&self, now: Time) -> bool {
        now < self.lease_until
    }
}
