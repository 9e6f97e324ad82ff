//! Tests of the relay against an in-memory group of servers.

mod background;
mod confirmations;
mod departures;
mod deposed;
mod detector;
mod evacuation;
mod evacuation_schedule;
mod evacuations;
mod leader_lease;
mod leadership;
mod lease;
mod logger;
mod metrics;
mod opinion;
mod pool;
mod replacement;
mod reports;
mod schedule;
mod sessions;
mod settings_schedule;
mod shares;
mod slow_settings;
mod stops;
mod survey;
mod warmup;
mod world;
