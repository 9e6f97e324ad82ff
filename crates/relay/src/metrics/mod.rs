//! Metrics of the process, in OpenMetrics text.

mod calls;
mod meter;
mod metrics;

pub use calls::Calls;
pub use meter::Meter;
pub use metrics::Metrics;
