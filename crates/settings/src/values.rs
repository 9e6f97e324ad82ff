//! Values that levels of the tree may override.

use serde::Deserialize;
use serde::Serialize;

/// How urgent the statements of a route or account are.
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
pub enum Priority {
    /// Writes and work that must not stall.
    Write,
    /// Lookups, which yield under load.
    Lookup,
}

/// What an instance does once it is cut off for longer than `cut_off_ms`.
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
pub enum CutOff {
    /// Goes on with the settings that it holds.
    Serve,
    /// Refuses requests until it has confirmed its settings.
    Refuse,
}

/// Overrides of one level; `None` inherits from the level above.
///
/// `docs/operations/settings.md` lists the units, ranges, defaults and levels.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Values {
    /// Milliseconds from the arrival of a request until it is given up.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Milliseconds that a request may wait for a connection or a proof.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_ms: Option<u64>,
    /// Milliseconds of staleness that reads accept beyond read-your-writes; 0 asks for none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_age_ms: Option<u64>,
    /// Whether reads may go to replicas.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub read_from_replicas: Option<bool>,
    /// Requests per second of an account over all instances.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_s: Option<u64>,
    /// Requests that an account may send at once over all instances.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<u64>,
    /// The account's weight when connections are scarce.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u64>,
    /// How urgent the statements are.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// Whether every account, also without a key, may use the route.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub open_to_all: Option<bool>,
    /// Milliseconds for which a checked key counts without a confirmed tree.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key_grace_ms: Option<u64>,
    /// What a cut-off instance does after `cut_off_ms`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub when_cut_off: Option<CutOff>,
    /// Milliseconds for which an instance may act on settings that it could not confirm.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cut_off_ms: Option<u64>,
    /// Seconds for which the result of a request with an idempotency key is kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idempotency_retention_s: Option<u64>,
    /// Connections of all instances together to one endpoint.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connections: Option<u64>,
    /// Milliseconds of silence after which a primary is suspected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detect_ms: Option<u64>,
    /// Milliseconds between two status queries to a server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub poll_ms: Option<u64>,
    /// Milliseconds that an instance's lease row lasts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lease_ms: Option<u64>,
    /// Milliseconds that a planned stop waits for running transactions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stop_ms: Option<u64>,
}
