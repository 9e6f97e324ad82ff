//! Authenticated requests and replies between instances over `nng`.

mod client;
mod codec;
mod error;
mod frame;
mod handler;
mod identity;
mod replay;
mod server;

pub use client::Client;
pub use codec::Codec;
pub use error::Error;
pub use frame::Body;
pub use frame::Frame;
pub use frame::Refusal;
pub use handler::Handler;
pub use handler::Peer;
pub use handler::Transport;
pub use identity::Identity;
pub use replay::Window;
pub use server::Server;
