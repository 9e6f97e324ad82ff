//! The groups of the settings in force: their views, connections and tasks.

mod driver;
mod handle;
mod hub;
mod line;
mod poll;
mod retention;

pub use driver::spawn;
pub use handle::Handle;
pub use hub::apply;
pub use hub::apply_roster;
pub use line::Line;
pub use line::Link;
pub use line::Turn;
pub use poll::hasten;
