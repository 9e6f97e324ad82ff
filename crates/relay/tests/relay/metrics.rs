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
