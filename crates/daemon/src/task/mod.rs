//! The background tasks of one process.

mod call;
mod group_rows;
mod heartbeat;
mod keys;
mod lease;
mod limiter;
mod responder;
mod sync;

pub use call::call;
pub use keys::encode_verifier;
pub use lease::release_lease;
pub use limiter::return_slices;
pub use responder::Responder;
pub use sync::accept_snapshot;

use std::sync::Arc;

use crate::node::Node;

/// Starts all background tasks.
pub fn spawn(node: &Arc<Node>) {
    tokio::spawn(lease::run(Arc::clone(node)));
    tokio::spawn(sync::run(Arc::clone(node)));
    tokio::spawn(heartbeat::run(Arc::clone(node)));
    tokio::spawn(limiter::run(Arc::clone(node)));
    tokio::spawn(group_rows::run(Arc::clone(node)));
}
