//! The state of one instance.

mod journal;
mod node;
mod options;
mod parts;
mod rotation;

pub use journal::Journal;
pub use node::Node;
pub use node::lock;
pub use options::Options;
pub use parts::Parts;
pub use rotation::Rotation;
