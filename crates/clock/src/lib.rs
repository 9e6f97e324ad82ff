//! Monotonic time as a value, and the clocks that read it.

mod boot;
mod clock;
mod manual;
mod system;
mod time;
mod wall;

pub use boot::Boot;
pub use clock::Clock;
pub use manual::Manual;
pub use system::System;
pub use time::Span;
pub use time::Time;
