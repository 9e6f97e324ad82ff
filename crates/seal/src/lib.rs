//! Message authentication codes (HMAC-SHA-256) for messages between instances.

mod authenticator;

pub use authenticator::Authenticator;
