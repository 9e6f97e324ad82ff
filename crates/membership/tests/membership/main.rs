//! Tests of leases, readiness, the member view and the topology.

mod members;
mod readiness;
mod renewer;
mod sample;
mod topology;
