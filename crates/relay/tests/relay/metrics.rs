//! Tests of the metrics as operators see them.

use relay::metrics::Metrics;

/// The operator's page tells which metrics to watch during an evacuation.
#[test]
fn evacuations_are_shown() {
    let metrics = Metrics::open();
    metrics.zones_evacuated.set(2);
    metrics.evacuated_statements.inc();
    let text = metrics.text();
    for line in [
        "yuccamount_zones_evacuated 2",
        "yuccamount_evacuated_statements_total 1",
    ] {
        assert!(text.lines().any(|found| found == line), "{text}");
    }
}

/// Replacements followed each other for a minute without any operator noticing.
#[test]
fn replacements_that_wait_or_end_without_a_result_are_shown() {
    let metrics = Metrics::open();
    metrics.failovers_unsuccessful.inc();
    metrics.failover_wait("too few servers answer");
    let text = metrics.text();
    for line in [
        "yuccamount_failovers_unsuccessful_total 1",
        "yuccamount_failover_waits_total{reason=\"too few servers answer\"} 1",
    ] {
        assert!(text.lines().any(|found| found == line), "{text}");
    }
}
