//! Caller sessions.

mod commit;
mod job;
mod read;
mod session;
mod transaction;
mod write;

use commit::Commit;
pub use job::Fault;
pub use job::Job;
pub use job::Refusal;
pub use session::serve;
pub use transaction::Transaction;
