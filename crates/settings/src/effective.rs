//! Values after inheritance.

use serde::Deserialize;
use serde::Serialize;

use crate::CutOff;
use crate::Priority;
use crate::Values;

/// The values in force for a request, an account, a group or the fleet.
///
/// The fields have the meaning and unit of the same fields of [`Values`]. Only `proof_lease_ms`,
/// the milliseconds for which a table read proves a group's term, can't be set: an instance that
/// still acts on a longer one would acknowledge writes after a promoter with a shorter one has
/// stopped waiting for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are documented at Values")]
pub struct Effective {
    pub deadline_ms: u64,
    pub queue_ms: u64,
    pub max_age_ms: u64,
    pub read_from_replicas: bool,
    pub rate_per_s: u64,
    pub burst: u64,
    pub weight: u64,
    pub priority: Priority,
    pub open_to_all: bool,
    pub key_grace_ms: u64,
    pub when_cut_off: CutOff,
    pub cut_off_ms: u64,
    pub idempotency_retention_s: u64,
    pub connections: u64,
    pub proof_lease_ms: u64,
    pub detect_ms: u64,
    pub poll_ms: u64,
    pub lease_ms: u64,
    pub stop_ms: u64,
}

impl Default for Effective {
    fn default() -> Self {
        Self {
            deadline_ms: 5_000,
            queue_ms: 2_000,
            max_age_ms: 0,
            read_from_replicas: true,
            rate_per_s: 100,
            burst: 200,
            weight: 1,
            priority: Priority::Write,
            open_to_all: false,
            key_grace_ms: 2_000,
            when_cut_off: CutOff::Serve,
            cut_off_ms: 60_000,
            idempotency_retention_s: 86_400,
            connections: 30,
            proof_lease_ms: 600,
            detect_ms: 400,
            poll_ms: 50,
            lease_ms: 3_000,
            stop_ms: 30_000,
        }
    }
}

impl Effective {
    /// Takes over what a level sets.
    pub fn override_by(&mut self, values: &Values) {
        set(&mut self.deadline_ms, values.deadline_ms);
        set(&mut self.queue_ms, values.queue_ms);
        set(&mut self.max_age_ms, values.max_age_ms);
        set(&mut self.read_from_replicas, values.read_from_replicas);
        set(&mut self.rate_per_s, values.rate_per_s);
        set(&mut self.burst, values.burst);
        set(&mut self.weight, values.weight);
        set(&mut self.priority, values.priority);
        set(&mut self.open_to_all, values.open_to_all);
        set(&mut self.key_grace_ms, values.key_grace_ms);
        set(&mut self.when_cut_off, values.when_cut_off);
        set(&mut self.cut_off_ms, values.cut_off_ms);
        set(
            &mut self.idempotency_retention_s,
            values.idempotency_retention_s,
        );
        set(&mut self.connections, values.connections);
        set(&mut self.detect_ms, values.detect_ms);
        set(&mut self.poll_ms, values.poll_ms);
        set(&mut self.lease_ms, values.lease_ms);
        set(&mut self.stop_ms, values.stop_ms);
    }
}

fn set<T: Copy>(slot: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *slot = value;
    }
}
