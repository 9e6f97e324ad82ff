//! Startup options of an instance.

use std::net::SocketAddr;
use std::sync::Arc;

use account::rate::Quota;
use clock::Span;

/// Startup options of an instance.
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance's name, unique in the fleet.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The UDP address for messages from other instances.
    pub peer: SocketAddr,
    /// The HTTP address of the readiness probe and the metrics.
    pub ready: SocketAddr,
    /// How long keys stay valid after the store last confirmed the settings; `None` if the last
    /// known keys stay valid without limit.
    pub key_grace: Option<Span>,
    /// The window over which the accounts' limits hold; `None` if they hold over any window.
    pub quota: Option<Quota>,
    /// The time limit of a graceful stop.
    pub stop_timeout: Span,
    /// The retry delay given to a caller whose statement did not run.
    pub retry_after: Span,
}
