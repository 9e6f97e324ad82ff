//! Decisions on the order of waiting and on admission; docs/design/scheduling.md explains them.
//!
//! The module does no I/O, starts no task and reads no clock.

mod forecast;
mod overload;
mod reason;
mod salt;

pub use forecast::Forecast;
pub use overload::Overload;
pub use reason::Reason;
pub use salt::salt;
