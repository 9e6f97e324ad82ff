//! Fleet membership: lease rows, heartbeats, and which members poll, push to and watch which.

mod heartbeat;
mod lease;
mod member;
mod members;
mod readiness;
mod rendezvous;
mod renewer;
mod topology;

pub use heartbeat::Heartbeat;
pub use heartbeat::PROTOCOL_VERSION;
pub use heartbeat::Verdict;
pub use lease::INSTANCE_PREFIX;
pub use lease::Lease;
pub use lease::Phase;
pub use lease::instance_key;
pub use member::Member;
pub use members::HEARTBEAT_TIMEOUT;
pub use members::Identity;
pub use members::Members;
pub use readiness::Health;
pub use readiness::Reason;
pub use readiness::is_ready;
pub use readiness::readiness;
pub use rendezvous::rendezvous_order;
pub use renewer::Renewer;
pub use renewer::Transaction;
pub use topology::FAN_OUT;
pub use topology::HEAD_POLL_INTERVAL;
pub use topology::POLLERS_PER_ZONE;
pub use topology::Upstream;
