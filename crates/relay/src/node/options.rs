//! Startup options of an instance.

use std::net::SocketAddr;
use std::sync::Arc;

use account::rate::Quota;
use clock::Span;

use crate::warmup::Allowance;

/// Who keeps a replaced primary, and a former holder of the failover lease, from acting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fencing {
    /// The platform rejects promotions with an old fencing token, and a replaced primary refuses
    /// statements at once.
    #[default]
    Enforced,
    /// Nobody but the instances themselves: a replaced primary goes on as such until it is demoted.
    Unchecked,
}

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
    /// Who keeps a replaced primary from acting.
    pub fencing: Fencing,
    /// How long after the operator's order requests may still reach a server in an evacuated zone;
    /// `None` if evacuations are not followed.
    pub evacuation_bound: Option<Span>,
    /// How long after a server has reported that it leaves new statements may still reach it; `None`
    /// if they may until it is gone.
    pub drain_bound: Option<Span>,
    /// How far requests to cold servers may exceed their rate.
    pub warmup_allowance: Allowance,
    /// Whether statements are forwarded between the instances of a zone where an instance can't keep
    /// a connection for each account. The instance then listens at the peer address over TCP too.
    pub is_forwarding: bool,
    /// The time limit of a graceful stop.
    pub stop_timeout: Span,
    /// The retry delay given to a caller whose statement did not run.
    pub retry_after: Span,
}
