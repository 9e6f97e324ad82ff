//! Fault plans and how they are carried out.

mod action;
mod fault;
mod injector;
mod operators;
mod plan;

pub use action::Action;
pub use action::Step;
pub use fault::Fault;
pub use fault::parse;
pub use injector::Injector;
pub use plan::plan;
