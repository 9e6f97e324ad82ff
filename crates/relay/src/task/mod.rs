//! Background tasks of an instance.

mod appointments;
pub mod background;
mod call;
pub mod confirmation;
mod follower;
pub mod leader;
mod limiter;
mod reports;
mod revisions;
mod secret;
mod servers;

pub use appointments::run as follow_appointments;
pub use limiter::policy as rate_policy;
pub use limiter::release_slices;
pub use limiter::run as run_limiter;
pub use limiter::wait_for_slices;
pub use reports::run as follow_reports;
pub use revisions::run as follow_revisions;
pub use secret::run as load_secret;
pub use servers::Absences;
pub use servers::run as follow_servers;
