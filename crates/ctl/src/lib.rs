//! The operators' command-line program, which talks to the administration interface.

mod arguments;
mod changes;
mod client;
mod diff;
mod error;
mod http;
mod lists;
mod options;
mod output;
mod run;
mod timeline;
mod tree;
mod zones;

pub use client::Client;
pub use diff::diff;
pub use error::Error;
pub use http::Http;
pub use http::Method;
pub use http::Reply;
pub use http::Request;
pub use http::Transport;
pub use options::Command;
pub use options::Options;
pub use output::Output;
pub use run::main;
pub use run::run;
