//! An in-memory group of servers, callers and a platform for tests of whole instances.

mod caller;
mod gate;
mod group;
mod instance;
mod ledger;
mod link;
mod site;
mod stall;
mod switch;

pub use caller::Client;
pub use gate::Gate;
pub use group::GROUP;
pub use group::Group;
pub use instance::Delivery;
pub use instance::Instance;
pub use instance::KEY;
pub use instance::World;
pub use instance::free_address;
pub use instance::revision;
pub use instance::scarce_revision;
pub use ledger::Ledger;
pub use ledger::Writers;
pub use link::Dialer;
pub use site::Site;
pub use stall::Stall;
pub use switch::Switch;
