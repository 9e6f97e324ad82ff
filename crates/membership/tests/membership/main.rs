//! Tests of leases, the member view and the distribution of work.

mod keeper;
mod members;
mod readiness;
mod sample;
mod spread;
