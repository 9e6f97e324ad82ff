//! Connections to servers, shared by the sessions of an instance.

mod lane;
mod place;
mod pool;

pub use lane::Lane;
pub use place::Place;
pub use pool::Pool;
