//! The state of one instance.

mod dependencies;
mod journal;
mod load;
mod node;
mod options;
mod readiness;
mod shares;

pub use dependencies::Dependencies;
pub use journal::Journal;
pub use load::Load;
pub use node::Node;
pub use node::lock;
pub use options::Options;
pub use readiness::Readiness;
pub use shares::Shares;
