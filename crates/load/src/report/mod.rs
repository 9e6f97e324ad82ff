//! Reports of runs: JSON, a table, plots and comparisons.

mod account;
mod compare;
mod gap;
mod latency;
mod plot;
mod report;
mod table;
mod timeline;

pub use account::Service;
pub use account::measure_accounts;
pub use compare::compare;
pub use gap::write_gap;
pub use latency::Latency;
pub use latency::Percentiles;
pub use plot::plot;
pub use report::Material;
pub use report::Report;
pub use table::table;
pub use timeline::Timeline;
