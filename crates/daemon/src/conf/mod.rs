//! Settings of the process, from flags and environment variables.

mod args;
mod options;

pub use args::parse;
pub use args::parse_from;
pub use options::Options;
