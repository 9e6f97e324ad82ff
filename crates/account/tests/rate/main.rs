//! Fleet-wide rate limits: single scenarios and randomized runs of a simulated fleet.

mod conflict;
mod fleet;
mod holders;
mod layout;
mod minute;
mod quota;
mod random;
mod traps;
mod waiting;
