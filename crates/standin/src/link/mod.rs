//! Links between zones: TCP forwarders with a delay that can be cut.

mod forward;
mod links;
mod route;
mod routes;

pub use links::Links;
pub use links::Options;
pub use route::Route;
pub use route::Zone;
pub use routes::control;
