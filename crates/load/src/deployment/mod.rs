//! The users' deployments as data: zones, delays, groups, accounts and their work.

mod deployment;
mod layout;
mod process;
mod sizes;
mod tree;

pub use deployment::Account;
pub use deployment::Deployment;
pub use deployment::Group;
pub use deployment::Kind;
pub use deployment::Name;
pub use deployment::Role;
pub use deployment::Route;
pub use layout::DATABASE;
pub use layout::ENDPOINT_PASSWORD;
pub use layout::ENDPOINT_USER;
pub use layout::READ_TOKEN;
pub use layout::WRITE_TOKEN;
pub use process::Process;
pub use process::processes;
pub use tree::Baseline;
pub use tree::tree;
