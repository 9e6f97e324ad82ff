//! How each account was served.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::deployment::Account;
use crate::deployment::Deployment;
use crate::work::Entry;
use crate::work::Outcome;

/// How one account was served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The account.
    pub name: String,
    /// Requests offered.
    pub offered: u64,
    /// Those that one exact bucket of the account's rate and burst would have let pass.
    pub within_rate: u64,
    /// Requests answered by their deadline.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Refusals of requests within the rate.
    pub wrongful: u64,
    /// Answered by the deadline of those within the rate, from 0 to 1.
    pub share: f64,
}

/// Measures all accounts; requests after an account's key was withdrawn do not count.
pub fn measure_accounts(
    entries: &[Entry],
    deployment: &Deployment,
    withdrawn: &BTreeMap<usize, Duration>,
) -> Vec<Service> {
    let deadline = Duration::from_millis(deployment.deadline_ms);
    let each = deployment.accounts.iter().enumerate();
    each.map(|(index, account)| {
        let until = withdrawn.get(&index).copied().unwrap_or(Duration::MAX);
        let own: Vec<&Entry> = entries
            .iter()
            .filter(|entry| entry.account == index && entry.intended + deadline < until)
            .collect();
        measure(account, &own, deadline)
    })
    .collect()
}

fn measure(account: &Account, entries: &[&Entry], deadline: Duration) -> Service {
    let count = |wanted: &dyn Fn(&Entry) -> bool| {
        entries.iter().filter(|entry| wanted(entry)).count() as u64
    };
    let within_rate = within_rate(account, entries);
    let answered = count(&|entry| entry.is_answered() && entry.latency() <= deadline);
    let refused = count(&|entry| matches!(entry.outcome, Outcome::NotRun { .. }));
    let passed = entries.len() as u64 - refused;
    let share = if within_rate == 0 {
        1.0
    } else {
        (answered as f64 / within_rate as f64).min(1.0)
    };
    Service {
        name: account.name.to_owned(),
        offered: entries.len() as u64,
        within_rate,
        answered,
        refused,
        wrongful: within_rate.saturating_sub(passed).min(refused),
        share,
    }
}

/// Counts the requests that one exact bucket would have let pass, by when they were due.
fn within_rate(account: &Account, entries: &[&Entry]) -> u64 {
    let mut tokens = account.burst as f64;
    let mut last = Duration::ZERO;
    let mut passed = 0;
    for entry in entries {
        let gained = account.rate as f64 * entry.intended.saturating_sub(last).as_secs_f64();
        tokens = (tokens + gained).min(account.burst as f64);
        last = entry.intended;
        if tokens >= 1.0 {
            tokens -= 1.0;
            passed += 1;
        }
    }
    passed
}
