//! Metrics of the process, in OpenMetrics text.

mod meter;

pub use meter::Meter;
