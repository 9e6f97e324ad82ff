//! What a listener is started with.

use std::sync::Arc;

use clock::Clock;
use timeline::Ring;

use crate::Gate;
use crate::Limits;
use crate::Tls;

/// What a listener is started with.
#[derive(Clone)]
pub struct Options {
    /// Decides who may log in and opens sessions.
    pub gate: Arc<dyn Gate>,
    /// Where events go.
    pub ring: Arc<Ring>,
    /// The clock for the counting of failed logins and for `drain`.
    pub clock: Arc<dyn Clock>,
    /// The certificate, if TLS is offered.
    pub tls: Option<Tls>,
    /// The listener's limits.
    pub limits: Limits,
}
