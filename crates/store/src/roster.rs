//! The interface to the platform's list of machines.

use std::sync::Arc;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// The lifecycle state of a machine.
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
    /// Scheduled for removal.
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
    /// The IP address and port on which it listens.
    pub address: Arc<str>,
    /// Its lifecycle state.
    pub status: Status,
}

/// The platform's list of machines.
///
/// The list is eventually consistent: it lags behind the machines and proves nothing about them.
#[async_trait]
pub trait Roster: Send + Sync {
    /// Returns the platform's current list, which may be stale.
    async fn machines(&self) -> Result<Vec<Machine>, Error>;
}
