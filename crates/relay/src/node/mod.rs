//! The state of one instance.

mod journal;
mod load;
mod node;
mod options;
mod parts;
mod rotation;
mod shares;

pub use journal::Journal;
pub use load::Load;
pub use node::Node;
pub use node::lock;
pub use options::Options;
pub use parts::Parts;
pub use rotation::Rotation;
pub use shares::Shares;
