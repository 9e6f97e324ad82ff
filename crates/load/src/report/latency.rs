//! Latencies from when requests were due.

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::work::Entry;
use crate::work::Probe;

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
}

/// Latencies of a run in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Reads through the proxy.
    pub reads: Percentiles,
    /// Writes through the proxy.
    pub writes: Percentiles,
    /// Reads at the primary, past the proxy.
    pub direct_reads: Percentiles,
    /// Writes at the primary, past the proxy.
    pub direct_writes: Percentiles,
}

const US_PER_MS: f64 = 1_000.0;

impl Percentiles {
    /// Reads the percentiles of a histogram in microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / US_PER_MS;
        Self {
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
        }
    }
}

impl Latency {
    /// Measures answered requests and the probe.
    pub fn of(entries: &[Entry], probe: &Probe) -> Self {
        let mut measured = Probe::open();
        for entry in entries.iter().filter(|entry| entry.is_answered()) {
            let us = u64::try_from(entry.latency().as_micros()).unwrap_or(u64::MAX);
            if entry.kind.is_write() {
                measured.writes.saturating_record(us);
            } else {
                measured.reads.saturating_record(us);
            }
        }
        Self {
            reads: Percentiles::of(&measured.reads),
            writes: Percentiles::of(&measured.writes),
            direct_reads: Percentiles::of(&probe.reads),
            direct_writes: Percentiles::of(&probe.writes),
        }
    }
}
