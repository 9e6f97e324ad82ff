//! Statements and replies, independent of the protocol.

mod code;
mod reply;
mod request;

pub use code::Code;
pub use reply::Failure;
pub use reply::Reply;
pub use reply::State;
pub use request::Access;
pub use request::Definition;
pub use request::Message;
pub use request::Request;
pub use request::Statement;
