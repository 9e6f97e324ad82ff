//! Decisions on the order of waiting and on admission; docs/design/scheduling.md explains them.
//!
//! The module does no I/O, starts no task and reads no clock.

mod entry;
mod forecast;
mod order;
mod overload;
mod reason;
mod salt;

pub use entry::Entry;
pub use forecast::Forecast;
pub use order::Order;
pub use overload::Overload;
pub use reason::Reason;
pub use salt::salt;
