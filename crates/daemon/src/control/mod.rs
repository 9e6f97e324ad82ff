//! What operators see and do at this instance.

mod control;
mod keys;
mod lists;

pub use control::Control;
pub use control::router;
