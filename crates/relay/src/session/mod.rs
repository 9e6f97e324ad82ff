//! Sessions of callers.

mod context;
mod read;
mod session;
mod transaction;
mod write;

pub use context::Job;
pub use context::Refusal;
pub use context::Trouble;
pub use session::serve;
pub use transaction::Transaction;
