//! SQL on SQLite, in PostgreSQL's manner.

mod command;
mod execute;
mod failure;
mod infer;

pub(crate) use command::Command;
pub(crate) use command::parse;
pub(crate) use command::shape;
pub(crate) use execute::Column;
pub(crate) use execute::Output;
pub(crate) use execute::describe;
pub(crate) use execute::execute;
pub(crate) use failure::Failure;
pub(crate) use infer::parameter_types;
