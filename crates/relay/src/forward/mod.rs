//! Statements that run at another instance of the zone, which keeps the connections for them.
//!
//! It is for sites with fewer connections to a server than instances times accounts.

mod loss;
mod peer;
mod router;

pub use loss::Loss;
pub use loss::Next;
pub use peer::Peer;
pub use router::Router;
