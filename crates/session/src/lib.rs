//! Read-your-writes consistency: minimum read positions, signed session tokens and read routing.

mod bootstrap;
mod error;
mod floor;
mod floors;
mod router;
mod token;

pub use bootstrap::Bootstrap;
pub use bootstrap::Step;
pub use error::Error;
pub use floor::Floor;
pub use floors::Floors;
pub use router::Candidate;
pub use router::Request;
pub use router::Route;
pub use router::Router;
pub use token::Keyring;
pub use token::Token;
