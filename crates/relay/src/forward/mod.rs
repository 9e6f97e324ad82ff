//! Statements that run at another instance of the zone, which keeps the connections for them.
//!
//! It is for sites with fewer connections to a server than instances times accounts.

pub mod channel;
mod forwarder;
mod link;
mod loss;
pub mod message;
mod peer;
mod receiver;
mod router;

pub use forwarder::Forwarder;
pub use forwarder::keep_links;
pub use forwarder::run;
pub use loss::Loss;
pub use loss::Next;
pub use peer::Peer;
pub use receiver::run as run_for_others;
pub use router::Router;
