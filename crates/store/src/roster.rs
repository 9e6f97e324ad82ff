//! The border to the platform's lagging list of machines.

use std::sync::Arc;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// Whether the platform keeps a machine or retires it.
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
pub enum Status {
    /// In service.
    Live,
    /// About to be retired.
    Leaving,
}

/// One entry of the roster: an instance of the proxy or an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The name of the instance or endpoint.
    pub name: Arc<str>,
    /// `instance` or `endpoint`.
    pub role: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The IP number and port it serves on.
    pub address: Arc<str>,
    /// Whether it is live or leaving.
    pub status: Status,
}

/// The platform's list of machines; a hint that lags, never proof.
#[async_trait]
pub trait Roster: Send + Sync {
    /// Returns the machines as the platform last knew them.
    async fn machines(&self) -> Result<Vec<Machine>, Error>;
}
