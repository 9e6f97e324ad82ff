//! Simulation of a fleet of limiters with a table, a network and faults.

mod bound;
mod event;
mod network;
mod options;
mod world;

pub use options::Options;
pub use world::World;
