//! Classifies SQL statements: what may go to a replica, what needs the primary, what must stay on
//! one connection and what is refused.

mod classify;
mod comment;
mod error;
mod fingerprint;
mod function;
mod kind;
mod parse;
mod piece;
mod read;
mod setting;
mod statement;

pub use error::Error;
pub use kind::Kind;
pub use kind::Pin;
pub use kind::Variable;
pub use parse::parse;
pub use statement::Statement;
