//! A report as a table for people.

use super::Report;
use super::latency::Percentiles;

/// Returns the names and values of a report's figures, in order.
pub(super) fn figures(report: &Report) -> Vec<(&'static str, Option<f64>)> {
    let latency = &report.latency_ms;
    let mut figures = vec![
        ("reads", Some(report.reads as f64)),
        ("writes", Some(report.writes as f64)),
        ("replica read share", report.replica_read_share),
        ("write gap ms", Some(report.write_gap_ms)),
        ("worst account share", Some(report.worst_account_share)),
        ("wrongful refusals", Some(report.wrongful_refusals as f64)),
        (
            "requests within rate",
            Some(report.within_rate_requests as f64),
        ),
        ("unknown outcomes", Some(report.unknown_outcomes as f64)),
        ("violations", Some(report.violations.len() as f64)),
    ];
    figures.extend(percentiles(
        ["read p50 ms", "read p99 ms", "read p999 ms"],
        &latency.reads,
    ));
    figures.extend(percentiles(
        ["write p50 ms", "write p99 ms", "write p999 ms"],
        &latency.writes,
    ));
    figures.extend(percentiles(
        [
            "direct read p50 ms",
            "direct read p99 ms",
            "direct read p999 ms",
        ],
        &latency.direct_reads,
    ));
    figures.extend(percentiles(
        [
            "direct write p50 ms",
            "direct write p99 ms",
            "direct write p999 ms",
        ],
        &latency.direct_writes,
    ));
    figures.push((
        "core percent, most",
        most(report, |usage| usage.core_percent),
    ));
    figures.push(("memory MB, most", most(report, |usage| usage.rss_mb)));
    figures.push((
        "control bytes/s, most",
        most(report, |usage| usage.bytes_per_s),
    ));
    figures
}

fn percentiles(names: [&'static str; 3], values: &Percentiles) -> [(&'static str, Option<f64>); 3] {
    [
        (names[0], Some(values.p50)),
        (names[1], Some(values.p99)),
        (names[2], Some(values.p999)),
    ]
}

fn most(report: &Report, of: impl Fn(&crate::usage::Usage) -> Option<f64>) -> Option<f64> {
    report.control.iter().filter_map(of).reduce(f64::max)
}

/// Writes a figure, or says that it was not measured.
pub(super) fn number(value: Option<f64>) -> String {
    match value {
        None => "not measured".to_owned(),
        Some(value) if value.fract() == 0.0 => format!("{value:.0}"),
        Some(value) => format!("{value:.3}"),
    }
}

/// Returns the table.
pub fn table(report: &Report) -> String {
    let mut lines = vec![format!(
        "{} {} seed={} baseline={} revision={}",
        report.deployment, report.fault, report.seed, report.baseline, report.revision
    )];
    for (name, value) in figures(report) {
        lines.push(format!("{name:<24} {:>14}", number(value)));
    }
    lines.push("outcomes".to_owned());
    for (name, count) in &report.outcomes {
        lines.push(format!("  {name:<22} {count:>14}"));
    }
    lines.push("accounts: offered, within rate, answered in time, refused, wrongful".to_owned());
    for account in &report.accounts {
        lines.push(format!(
            "  {:<22} {:>7} {:>7} {:>7} {:>7} {:>7}",
            account.name,
            account.offered,
            account.within_rate,
            account.answered,
            account.refused,
            account.wrongful
        ));
    }
    for violation in &report.violations {
        lines.push(format!("VIOLATION {} {}", violation.breach, violation.text));
    }
    lines.join("\n") + "\n"
}
