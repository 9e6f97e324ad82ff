//! The background tasks of one process.

mod call;
mod keys;
mod lease;
mod rates;
mod responder;
mod rows;
mod sync;
mod watch;

pub use call::call;
pub use keys::stored;
pub use lease::release;
pub use rates::leave;
pub use responder::Responder;
pub use sync::take;

use std::sync::Arc;

use crate::node::Node;

/// Starts all background tasks.
pub fn spawn(node: &Arc<Node>) {
    tokio::spawn(lease::run(Arc::clone(node)));
    tokio::spawn(sync::run(Arc::clone(node)));
    tokio::spawn(watch::run(Arc::clone(node)));
    tokio::spawn(rates::run(Arc::clone(node)));
    tokio::spawn(rows::run(Arc::clone(node)));
}
