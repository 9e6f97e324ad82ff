//! Metrics of the process, in OpenMetrics text.

mod calls;
mod meter;
mod metrics;
mod rejection;

pub use calls::Calls;
pub use meter::Meter;
pub use metrics::Metrics;
pub use rejection::Rejection;
