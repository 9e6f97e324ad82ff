//! Evacuation of availability zones.

mod evacuations;
mod transition;

pub use evacuations::Evacuations;
pub use transition::Transition;
