//! Settings and server descriptions from the platform.

mod directive;
mod revision;
mod server;

pub use directive::Directive;
pub use revision::Account;
pub use revision::Freshness;
pub use revision::Group;
pub use revision::Revision;
pub use revision::Route;
pub use server::Server;
