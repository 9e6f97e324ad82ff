//! The state that the tasks of one process share.

mod node;
mod registry;

pub use node::Node;
pub use node::lock;
pub use registry::Entry;
pub use registry::Registry;
