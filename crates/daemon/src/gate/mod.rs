//! Logins: routes, keys and the opening of sessions.

mod gate;

pub use gate::Gate;
