//! Tests of the relay against an in-memory group of servers.

mod background;
mod balance;
mod confirmations;
mod departures;
mod deposed;
mod detector;
mod leader_lease;
mod leadership;
mod lease;
mod logger;
mod opinion;
mod pool;
mod replacement;
mod reports;
mod sessions;
mod settings_schedule;
mod shares;
mod slow_settings;
mod stops;
mod survey;
mod world;
