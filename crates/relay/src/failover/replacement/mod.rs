//! One attempt to replace a group's primary.

mod replacement;
mod report;
mod servers;

pub use replacement::Replacement;
