//! Authentication codes for messages between instances.

mod authenticator;

pub use authenticator::Authenticator;
