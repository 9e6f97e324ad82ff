//! The row by which an instance shows that it is alive.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use store::Row;

/// The prefix of the instances' rows.
pub const INSTANCE_PREFIX: &str = "instance/";

/// Whether an instance takes new work.
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
    /// It takes new work.
    Live,
    /// It ends what it has and then stops.
    Leaving,
}

/// An instance's lease row.
///
/// The row gives a duration and no point in time, since clocks of two machines cannot be
/// compared: a reader counts from the moment that it first saw a version of the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The instance.
    pub name: Arc<str>,
    /// Random; differs each time that the instance starts.
    pub life: u64,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Where peers reach it.
    pub address: Arc<str>,
    /// Where operators reach it.
    pub admin: Arc<str>,
    /// Milliseconds from a renewal until the lease lapses.
    pub lease_ms: u64,
    /// Whether it takes new work.
    pub phase: Phase,
    /// The settings revision that it acted on at the renewal.
    pub revision: u64,
}

impl Lease {
    /// Reads a row; `None` if it is not a lease of the instance that its key names.
    pub fn read(row: &Row) -> Option<Self> {
        let lease: Self = serde_json::from_str(&row.value).ok()?;
        (row.key == instance_key(&lease.name)).then_some(lease)
    }

    /// Returns the row's value.
    pub fn to_text(&self) -> Arc<str> {
        let text = serde_json::to_string(self).expect("a lease has only plain values");
        Arc::from(text)
    }
}

/// Returns the key of an instance's row.
pub fn instance_key(name: &str) -> Arc<str> {
    Arc::from(format!("{INSTANCE_PREFIX}{name}"))
}
