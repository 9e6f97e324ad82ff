//! The replication state of one database group: its terms, the proofs that a write is durable
//! before it is acknowledged, and promotions.
//!
//! Everything here is a deterministic state machine: times and messages go in, actions come out.

mod ack;
mod action;
mod error;
mod failure;
mod freshness;
mod lease;
mod member;
mod outcome;
mod policy;
mod row;
mod server;
mod source;
mod view;
mod votes;

pub use ack::Ack;
pub use action::Action;
pub use error::Error;
pub use failure::Failure;
pub use member::Member;
pub use outcome::Outcome;
pub use policy::Policy;
pub use policy::Proof;
pub use row::Phase;
pub use row::Row;
pub use source::Source;
pub use view::View;
pub use votes::Votes;
