//! Tests of leases, the member view and the distribution of work.

mod members;
mod readiness;
mod renewer;
mod sample;
mod topology;
