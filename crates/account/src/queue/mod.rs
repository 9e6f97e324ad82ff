//! Weighted fair queuing and the adaptive concurrency limit of one database server.

mod flow;
mod limiter;
mod policy;
mod scheduler;
mod ticket;

pub use limiter::Limiter;
pub use policy::Policy;
pub use scheduler::Scheduler;
pub use ticket::Class;
pub use ticket::Reason;
pub use ticket::Shed;
pub use ticket::Ticket;
