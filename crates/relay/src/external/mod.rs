//! Traits for the systems around the relay.

mod caller;
mod connector;
mod promoter;

pub use caller::Caller;
pub use caller::Listener;
pub use connector::Connection;
pub use connector::Connector;
pub use connector::Status;
pub use connector::Target;
pub use promoter::Order;
pub use promoter::Outcome;
pub use promoter::Promoter;
pub use promoter::Validity;
