//! What instances tell each other.

mod message;
mod peers;

pub use message::Content;
pub use message::Datagram;
pub use message::Opinion;
pub use peers::Peers;
pub use peers::run;
