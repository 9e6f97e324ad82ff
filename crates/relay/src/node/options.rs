//! What an instance is told at its start.

use std::net::SocketAddr;
use std::sync::Arc;

use account::rate::Quota;
use clock::Span;

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance's name, unique in the fleet.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where other instances reach it over UDP.
    pub peer: SocketAddr,
    /// Where it answers whether it is ready, and with its metrics.
    pub ready: SocketAddr,
    /// How long keys count as known after the store last confirmed the settings; `None` if callers
    /// are served with the keys last known for as long as it takes.
    pub key_grace: Option<Span>,
    /// Over which windows the accounts' limits hold; `None` if over any.
    pub quota: Option<Quota>,
    /// How long a stopping process may still run.
    pub stop_timeout: Span,
    /// When a caller whose statement was not run may come back.
    pub retry_after: Span,
}
