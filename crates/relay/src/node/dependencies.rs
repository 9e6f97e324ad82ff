//! The outside, as it is handed to an instance.

use std::sync::Arc;

use clock::Clock;
use store::Table;
use store::Watch;

use crate::external::Connector;
use crate::external::Promoter;
use crate::settings::Revision;
use crate::settings::Server;

/// The outside, as it is handed to an instance.
#[derive(Clone)]
pub struct Dependencies {
    /// Opens connections to servers.
    pub connector: Arc<dyn Connector>,
    /// Makes servers primaries.
    pub promoter: Arc<dyn Promoter>,
    /// The rows that the instances share.
    pub table: Arc<dyn Table>,
    /// The settings.
    pub revisions: Arc<dyn Watch<Revision>>,
    /// The servers' own entries.
    pub servers: Arc<dyn Watch<Server>>,
    /// The clock by which leases and staleness are measured.
    pub clock: Arc<dyn Clock>,
}
