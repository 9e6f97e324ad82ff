//! Timeline of structured events from all processes, ordered by a hybrid logical clock.

mod event;
mod ring;
mod timestamp;

pub use event::Event;
pub use event::Kind;
pub use event::event;
pub use ring::Ring;
pub use timestamp::Hybrid;
pub use timestamp::Timestamp;
