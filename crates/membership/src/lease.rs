//! The lease row of an instance.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use store::Row;

/// The key prefix of the instances' lease rows.
pub const INSTANCE_PREFIX: &str = "instance/";

/// Whether an instance accepts new work.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// It accepts new work.
    Live,
    /// It finishes its current work and then stops.
    Leaving,
}

/// An instance's lease row, stored as JSON.
///
/// The row holds a duration rather than an expiry time, since the clocks of two machines cannot
/// be compared: a reader counts from the start of the read that first returned a row version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The instance's name.
    pub name: Arc<str>,
    /// A random number drawn at each process start, which tells restarts of an instance apart.
    pub life: u64,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The address of its peer listener.
    pub address: Arc<str>,
    /// The address of its admin interface.
    pub admin: Arc<str>,
    /// The lease duration in milliseconds, from the start of a renewal.
    pub lease_ms: u64,
    /// Whether it accepts new work.
    pub phase: Phase,
    /// The settings revision that it applied at the renewal.
    pub revision: u64,
}

impl Lease {
    /// Parses a row; `None` if the value is malformed or names another instance than the key.
    pub fn read(row: &Row) -> Option<Self> {
        let lease: Self = serde_json::from_str(&row.value).ok()?;
        (row.key == instance_key(&lease.name)).then_some(lease)
    }

    /// Returns the row's value as JSON.
    pub fn to_text(&self) -> Arc<str> {
        let text = serde_json::to_string(self).expect("a lease has only plain values");
        Arc::from(text)
    }
}

/// Returns the key of an instance's lease row.
pub fn instance_key(name: &str) -> Arc<str> {
    Arc::from(format!("{INSTANCE_PREFIX}{name}"))
}
