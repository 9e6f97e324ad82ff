//! Tests of the relay against an in-memory group of servers.

mod confirmations;
mod departures;
mod duty;
mod lead;
mod logger;
mod pool;
mod replacement;
mod sessions;
mod shares;
mod stops;
mod survey;
mod suspicion;
mod world;
