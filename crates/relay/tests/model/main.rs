//! Checks replacements of primaries as a model: the decision types of the relay among servers, a table
//! and a platform whose events happen in any order.

mod calm;
mod cluster;
mod commit;
mod faults;
mod instance;
mod promotion;
mod replacement;
mod rules;
mod rules_hold;
mod search;
mod state;
mod survey;
mod table;
mod world;
