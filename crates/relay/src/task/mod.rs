//! Background tasks of an instance.

mod call;
mod follower;
pub mod leader;
mod ledger;
mod revisions;
mod secret;
mod servers;

pub use ledger::policy as rate_policy;
pub use ledger::release_slices;
pub use ledger::run as run_ledger;
pub use ledger::wait_for_slices;
pub use revisions::run as follow_revisions;
pub use secret::run as load_secret;
pub use servers::Absences;
pub use servers::run as follow_servers;
