//! Connections to servers, shared by the sessions of an instance.

mod lane;
mod line;
mod patience;
mod place;
mod pool;

pub use lane::Lane;
pub use patience::Patience;
pub use place::Place;
pub use pool::Pool;
