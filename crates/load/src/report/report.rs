//! The report of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Latency;
use super::Service;
use super::measure_accounts;
use super::write_gap;
use crate::check::Violation;
use crate::deployment::Deployment;
use crate::usage::Usage;
use crate::work::Entry;
use crate::work::Outcome;
use crate::work::Probe;

/// What a report is made of.
pub struct Material<'a> {
    /// The deployment.
    pub deployment: &'a Deployment,
    /// The fault plan's name.
    pub fault: &'a str,
    /// What the run is compared with.
    pub baseline: &'a str,
    /// The seed.
    pub seed: u64,
    /// The revision of the program.
    pub revision: &'a str,
    /// All requests.
    pub entries: &'a [Entry],
    /// Direct latencies.
    pub probe: &'a Probe,
    /// Reads at replicas and all reads, as the servers counted them.
    pub reads: (u64, u64),
    /// When keys were withdrawn, by account.
    pub withdrawn: &'a BTreeMap<usize, Duration>,
    /// What the instances used.
    pub usage: Vec<Usage>,
    /// What must hold and did not.
    pub violations: Vec<Violation>,
}

/// The report of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The deployment.
    pub deployment: String,
    /// The fault plan.
    pub fault: String,
    /// What the run is compared with; `none` for the deployment's own settings.
    pub baseline: String,
    /// The seed.
    pub seed: u64,
    /// The revision of the program.
    pub revision: String,
    /// Reads that were answered.
    pub reads: u64,
    /// Writes that were acknowledged.
    pub writes: u64,
    /// Part of the reads that replicas served, from 0 to 1; `None` if none was counted.
    pub replica_read_share: Option<f64>,
    /// The longest time in milliseconds with writes offered and none acknowledged.
    pub write_gap_ms: f64,
    /// Part of the worst-served account's requests within its rate that were answered in time.
    pub worst_account_share: f64,
    /// Refusals of requests within their account's rate.
    pub wrongful_refusals: u64,
    /// Requests within their account's rate.
    pub within_rate_requests: u64,
    /// Requests that may have run and have no answer.
    pub unknown_outcomes: u64,
    /// Requests by how they ended.
    pub outcomes: BTreeMap<String, u64>,
    /// How each account was served.
    pub accounts: Vec<Service>,
    /// What must hold and did not.
    pub violations: Vec<Violation>,
    /// Latencies in milliseconds.
    pub latency_ms: Latency,
    /// What each instance used.
    pub control: Vec<Usage>,
}

impl Report {
    /// Makes the report.
    pub fn of(material: Material<'_>) -> Self {
        let entries = material.entries;
        let accounts = measure_accounts(entries, material.deployment, material.withdrawn);
        let worst = accounts.iter().map(|account| account.share);
        let (at_replicas, all) = material.reads;
        let offered = with_keys(&material);
        let gap = write_gap(&offered, material.deployment.groups.len());
        let answered = |write: bool| {
            let own = entries
                .iter()
                .filter(|entry| entry.kind.is_write() == write);
            own.filter(|entry| entry.is_answered()).count() as u64
        };
        Self {
            deployment: material.deployment.name.to_string(),
            fault: material.fault.to_owned(),
            baseline: material.baseline.to_owned(),
            seed: material.seed,
            revision: material.revision.to_owned(),
            reads: answered(false),
            writes: answered(true),
            replica_read_share: (all > 0).then(|| at_replicas as f64 / all as f64),
            write_gap_ms: gap.as_secs_f64() * 1_000.0,
            worst_account_share: worst.fold(1.0, f64::min),
            wrongful_refusals: accounts.iter().map(|account| account.wrongful).sum(),
            within_rate_requests: accounts.iter().map(|account| account.within_rate).sum(),
            unknown_outcomes: count(entries, |outcome| *outcome == Outcome::Unknown),
            outcomes: outcomes(entries),
            accounts,
            violations: material.violations,
            latency_ms: Latency::of(entries, material.probe),
            control: material.usage,
        }
    }
}

/// Returns the requests whose account had a key in force when they were due.
fn with_keys(material: &Material<'_>) -> Vec<Entry> {
    let in_force = |entry: &&Entry| {
        let withdrawn = material.withdrawn.get(&entry.account);
        withdrawn.is_none_or(|at| entry.intended < *at)
    };
    material.entries.iter().filter(in_force).cloned().collect()
}

fn count(entries: &[Entry], wanted: impl Fn(&Outcome) -> bool) -> u64 {
    entries
        .iter()
        .filter(|entry| wanted(&entry.outcome))
        .count() as u64
}

fn outcomes(entries: &[Entry]) -> BTreeMap<String, u64> {
    let mut outcomes = BTreeMap::new();
    for entry in entries {
        let kind = if entry.kind.is_write() {
            "write"
        } else {
            "read"
        };
        let name = match &entry.outcome {
            Outcome::Answered => format!("{kind} answered"),
            Outcome::NotRun { code } => format!("{kind} not-run {code}"),
            Outcome::Failed { code } => format!("{kind} failed {code}"),
            Outcome::Unknown if entry.cut => format!("{kind} unknown, closed"),
            Outcome::Unknown => format!("{kind} unknown"),
            Outcome::Unsent => format!("{kind} unsent"),
        };
        *outcomes.entry(name).or_default() += 1;
    }
    outcomes
}
