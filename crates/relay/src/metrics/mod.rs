//! Metrics of the process, in OpenMetrics text.

mod metrics;

pub use metrics::Metrics;
