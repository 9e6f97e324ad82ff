//! What runs a client's requests: routing, proofs, transactions and idempotency.

mod admission;
mod cancel;
mod context;
mod idempotency;
mod read;
mod refuse;
mod replay;
mod session;
mod transaction;
mod variable;
mod write;

pub use session::Session;
