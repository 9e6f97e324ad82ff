//! The platform's service over HTTP with JSON, and the switches that a test can move.

mod routes;
mod service;
mod switches;

pub use routes::control;
pub use routes::routes;
pub use service::Service;
pub use switches::Switches;
