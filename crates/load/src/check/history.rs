//! Compares what callers saw with what the database kept.

use std::collections::BTreeMap;

use super::Breach;
use super::Kept;
use super::Violation;
use crate::deployment::Kind;
use crate::work::Entry;
use crate::work::Outcome;
use crate::work::second_id;

/// Returns all violations of a history of requests.
pub fn check_history(entries: &[Entry], kept: &Kept) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut increments: BTreeMap<&str, Increments> = BTreeMap::new();
    for entry in entries {
        match entry.kind {
            Kind::KeyedInsert | Kind::Insert => violations.extend(check_insert(entry, kept)),
            Kind::Transaction => {
                violations.extend(check_insert(entry, kept));
                violations.extend(check_whole(entry, kept));
            }
            Kind::Increment => increments.entry(&entry.caller).or_default().add(entry),
            Kind::Count | Kind::Version => {}
        }
    }
    for (caller, counted) in increments {
        violations.extend(counted.check(caller, kept));
    }
    violations
}

fn check_insert(entry: &Entry, kept: &Kept) -> Option<Violation> {
    let times = kept.requests.get(&entry.request).copied().unwrap_or(0);
    let breach = if times > 1 {
        Breach::DoubledWrite
    } else if entry.is_answered() && times == 0 {
        Breach::LostWrite
    } else if times == 1 && !entry.may_have_run() {
        Breach::FalseNotRun
    } else {
        return None;
    };
    let text = format!(
        "request={} kind={} times={times} outcome={:?} done_ms={}",
        entry.request,
        entry.kind,
        entry.outcome,
        entry.done.as_millis()
    );
    Some(Violation { breach, text })
}

/// Checks that both rows of a transaction are there, or none.
fn check_whole(entry: &Entry, kept: &Kept) -> Option<Violation> {
    let times = |id: &str| kept.requests.get(id).copied().unwrap_or(0);
    let (first, second) = (times(&entry.request), times(&second_id(&entry.request)));
    let text = format!("request={} first={first} second={second}", entry.request);
    let breach = Breach::TornTransaction;
    (first != second).then_some(Violation { breach, text })
}

/// A caller's increments by how they ended.
#[derive(Default)]
struct Increments {
    answered: i64,
    /// Those that may have run and were not answered.
    doubtful: i64,
    refused: i64,
}

impl Increments {
    fn add(&mut self, entry: &Entry) {
        match entry.outcome {
            Outcome::Answered => self.answered += 1,
            _ if entry.may_have_run() => self.doubtful += 1,
            _ => self.refused += 1,
        }
    }

    fn check(&self, caller: &str, kept: &Kept) -> Option<Violation> {
        let version = kept.versions.get(caller).copied().unwrap_or(0);
        let most = self.answered + self.doubtful;
        let breach = if version < self.answered {
            Breach::LostWrite
        } else if version > most && version <= most + self.refused {
            Breach::FalseNotRun
        } else if version > most {
            Breach::DoubledWrite
        } else {
            return None;
        };
        let text = format!(
            "caller={caller} kind=increment version={version} answered={} doubtful={} refused={}",
            self.answered, self.doubtful, self.refused
        );
        Some(Violation { breach, text })
    }
}
