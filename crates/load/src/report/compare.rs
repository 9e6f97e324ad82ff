//! Two reports side by side.

use super::Report;
use super::table::figures;
use super::table::number;

/// Returns a table of the figures of both reports.
pub fn compare(one: &Report, other: &Report) -> String {
    let title = |report: &Report| {
        format!(
            "{} {} seed={} baseline={} revision={}",
            report.deployment, report.fault, report.seed, report.baseline, report.revision
        )
    };
    let mut lines = vec![format!("A {}", title(one)), format!("B {}", title(other))];
    lines.push(format!(
        "{:<24} {:>14} {:>14} {:>14}",
        "", "A", "B", "B - A"
    ));
    for ((name, a), (_, b)) in figures(one).into_iter().zip(figures(other)) {
        let difference = a.zip(b).map(|(a, b)| b - a);
        lines.push(format!(
            "{name:<24} {:>14} {:>14} {:>14}",
            number(a),
            number(b),
            number(difference)
        ));
    }
    lines.join("\n") + "\n"
}
