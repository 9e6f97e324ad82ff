//! The external services of an instance.

use std::sync::Arc;

use clock::Clock;
use store::Table;
use store::Watch;

use crate::external::Connector;
use crate::external::Promoter;
use crate::settings::Directive;
use crate::settings::Server;

/// The external services of an instance.
#[derive(Clone)]
pub struct Dependencies {
    /// Opens connections to database servers.
    pub connector: Arc<dyn Connector>,
    /// Promotes servers to primaries.
    pub promoter: Arc<dyn Promoter>,
    /// The table that the instances share.
    pub table: Arc<dyn Table>,
    /// The operator's directives: the settings and the evacuations.
    pub directives: Arc<dyn Watch<Directive>>,
    /// The entries in which servers describe themselves.
    pub servers: Arc<dyn Watch<Server>>,
    /// The clock that measures leases and staleness.
    pub clock: Arc<dyn Clock>,
}
