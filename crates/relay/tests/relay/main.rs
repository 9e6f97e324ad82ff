//! Tests of the relay against an in-memory group of servers.

mod confirmations;
mod departures;
mod detector;
mod journal;
mod leadership;
mod lease;
mod pool;
mod replacement;
mod sessions;
mod shares;
mod stops;
mod survey;
mod world;
