//! The messages between instances.

mod message;

pub use message::Head;
pub use message::Reply;
pub use message::Request;
pub use message::decode;
pub use message::encode;
