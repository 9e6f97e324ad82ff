//! The external services of an instance.

use std::sync::Arc;

use clock::Clock;
use store::Table;
use store::Watch;

use crate::external::Connector;
use crate::external::Promoter;
use crate::metrics::Calls;
use crate::metrics::Meter;
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

impl Dependencies {
    /// Returns the services with every call to the store counted in `calls`.
    pub fn metered(self, calls: &Calls) -> Self {
        Self {
            table: Meter::open(&self.table, calls, "other"),
            directives: Meter::open(&self.directives, calls, "settings"),
            servers: Meter::open(&self.servers, calls, "servers"),
            ..self
        }
    }
}
