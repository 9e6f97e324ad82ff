//! The daemon: one instance of the proxy.

mod error;

pub mod conf;
pub mod control;
pub mod gate;
pub mod group;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod run;
pub mod session;
pub mod task;
pub mod wire;

pub use error::Error;
pub use run::Instance;
pub use run::run;
