//! Authentication codes for messages between instances.

mod seal;

pub use seal::Seal;
