//! What instances tell each other.

mod confirmations;
mod message;
mod peers;

pub use confirmations::Confirmation;
pub use confirmations::Confirmations;
pub use message::Datagram;
pub use message::Opinion;
pub use message::Payload;
pub use peers::Peers;
pub use peers::run;
