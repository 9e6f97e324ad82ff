//! The fleet-wide rate: single traps and random runs of a simulated fleet.

mod conflict;
mod fleet;
mod minute;
mod quota;
mod random;
mod traps;
mod waiting;
