//! A simulation of three servers, several instances and the table, driven by a seeded schedule.

mod action;
mod client;
mod fault;
mod history;
mod server;
mod simulation;

pub use fault::LONGEST_FAULT;
pub use history::History;
pub use server::Server;
pub use simulation::Simulation;
