//! Database groups: their servers, their leader and their log.

mod acknowledgement;
mod group;
mod health;
mod last_commit;
mod leader_lease;
mod leadership;
mod proof;
mod server;

pub use acknowledgement::Acknowledgement;
pub use group::Group;
pub use group::UNKNOWN_PRIMARY;
pub use health::Health;
pub use last_commit::LastCommit;
pub use leader_lease::Appointment;
pub use leader_lease::COMMIT_LEASE;
pub use leader_lease::LEADER_LEASE;
pub use leader_lease::LeaderLease;
pub use leadership::Leadership;
pub use leadership::Sample;
pub use proof::Proof;
pub use server::Server;
