//! Shared state of an instance.

mod dependencies;
mod load;
mod logger;
mod node;
mod options;
mod readiness;
mod share;
mod shares;

pub use dependencies::Dependencies;
pub use load::Load;
pub use logger::Logger;
pub use node::Node;
pub use node::lock;
pub use options::Fencing;
pub use options::Options;
pub use readiness::Readiness;
pub use share::Share;
pub use shares::Shares;
