//! Chooses the server of a group for each read.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Time;
use rand::Rng;

use crate::balance::Candidate;
use crate::balance::Standing;
use crate::balance::State;
use crate::balance::Summary;

/// Reply time that is assumed while none was measured.
const REPLY_PRIOR_MS: f64 = 20.0;
/// Fewest requests, by weight, that can show that a server is an outlier.
const EVIDENCE_MIN: f64 = 3.0;
/// The same for an outlier to remain one; with less, it is given another chance.
const EVIDENCE_LEFT_MIN: f64 = 1.0;
/// An outlier fails this much more often than the server with the fewest failures. Two failures of
/// five are beyond it, one of three is not.
const FAILURE_EXCESS: f64 = 0.25;
/// An outlier is this many times as slow as the fastest server; kinds of statements differ by up
/// to 3, and degraded servers are slower by 5 to 8.
const SLOW_FACTOR: f64 = 3.0;
/// Part of the limits below which an outlier may recover, so that it doesn't change to and fro.
const RECOVERY_PART: f64 = 0.5;
/// Delays below this don't matter to callers, whose targets are 150 ms or more.
const SLOW_MIN_MS: f64 = 20.0;
/// Part of the reads that is sent to each outlier, to find out whether it has recovered.
const PROBE_SHARE: f64 = 1.0 / 32.0;

/// Chooses the server of a group for each read.
#[derive(Clone, Debug, Default)]
pub struct Balance {
    standings: BTreeMap<Arc<str>, Standing>,
}

/// A changed state of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The server's id.
    pub server: Arc<str>,
    /// Its new state.
    pub state: State,
    /// What the change is based on.
    pub summary: Summary,
}

impl Balance {
    /// Compares all servers of the group and returns whose state changed.
    pub fn review(&mut self, now: Time, summaries: &BTreeMap<Arc<str>, Summary>) -> Vec<Change> {
        self.standings
            .retain(|server, _| summaries.contains_key(server));
        let fastest_ms = fastest_ms(summaries.values());
        let base_rate = base_rate(summaries.values());
        let mut changes = Vec::new();
        for (server, summary) in summaries {
            let is_beyond = |part: f64, evidence: f64| {
                let excess = summary.failure_rate - base_rate;
                let is_failing = summary.requests >= evidence && excess > part * FAILURE_EXCESS;
                let slow_ms = (part * SLOW_FACTOR).max(1.0) * fastest_ms + part * SLOW_MIN_MS;
                let is_slow = summary.replies >= evidence && summary.reply_ms > slow_ms;
                is_failing || is_slow
            };
            let is_outlier = is_beyond(1.0, EVIDENCE_MIN);
            let remains_outlier = is_beyond(RECOVERY_PART, EVIDENCE_LEFT_MIN);
            let standing = self.standings.entry(Arc::clone(server)).or_default();
            if standing.step(now, is_outlier, remains_outlier) {
                changes.push(Change {
                    server: Arc::clone(server),
                    state: standing.state(),
                    summary: *summary,
                });
            }
        }
        changes
    }

    /// Returns the state of a server.
    pub fn state(&self, server: &str) -> State {
        let standing = self.standings.get(server);
        standing.copied().unwrap_or_default().state()
    }

    /// Returns the index of the candidate for a read; `None` only if there are no candidates.
    ///
    /// Where connections are scarce, an instance sees only a small part of a server's load, and all
    /// of them would choose the same server. There the better of two random candidates is chosen,
    /// which are drawn by the inverse cube of the expected time. Elsewhere the best is chosen.
    pub fn choose(
        &self,
        candidates: &[Candidate],
        is_scarce: bool,
        random: &mut impl Rng,
    ) -> Option<usize> {
        let mut admitted = Vec::new();
        let even_part = 1.0 / f64::from(u32::try_from(candidates.len()).unwrap_or(u32::MAX));
        for (index, candidate) in candidates.iter().enumerate() {
            let standing = self.standings.get(&candidate.server);
            let standing = standing.copied().unwrap_or_default();
            let part = match standing.state() {
                State::Normal => {
                    admitted.push(index);
                    continue;
                }
                State::Outlier => PROBE_SHARE,
                // Without requests, its record would stay worse than that of the others.
                State::Recovering => standing.share() * even_part,
            };
            if random.random::<f64>() < part {
                return Some(index);
            }
        }
        if admitted.is_empty() {
            admitted = (0..candidates.len()).collect();
        }
        let fastest_ms = fastest_ms(candidates.iter().map(|candidate| &candidate.summary));
        let base_rate = base_rate(candidates.iter().map(|candidate| &candidate.summary));
        let timed: Vec<(usize, f64)> = admitted
            .into_iter()
            .map(|index| {
                let expected = candidates[index].expected_ms(fastest_ms, base_rate);
                (index, expected)
            })
            .collect();
        if is_scarce {
            let first = draw(&timed, random)?;
            let second = draw(&timed, random)?;
            let (index, _) = if second.1 < first.1 { second } else { first };
            return Some(index);
        }
        let (_, best) = timed.iter().min_by(|a, b| a.1.total_cmp(&b.1))?;
        let ties: Vec<usize> = timed
            .iter()
            .filter(|(_, expected)| expected <= best)
            .map(|(index, _)| *index)
            .collect();
        Some(ties[random.random_range(0..ties.len())])
    }
}

/// Draws a candidate with a probability by the inverse cube of its expected time.
///
/// A server with an idle connection is then preferred by 13 to 1 over one that must open one at a
/// reply time of 30 ms, and equal servers are chosen equally often.
fn draw(timed: &[(usize, f64)], random: &mut impl Rng) -> Option<(usize, f64)> {
    let weight = |expected: f64| expected.powi(-3);
    let total: f64 = timed.iter().map(|(_, expected)| weight(*expected)).sum();
    let mut left = random.random::<f64>() * total;
    for entry in timed {
        left -= weight(entry.1);
        if left < 0.0 {
            return Some(*entry);
        }
    }
    timed.last().copied()
}

/// Returns the fastest server's mean reply time, at least 1 ms.
fn fastest_ms<'a>(summaries: impl Iterator<Item = &'a Summary>) -> f64 {
    summaries
        .filter(|summary| summary.replies >= EVIDENCE_LEFT_MIN)
        .map(|summary| summary.reply_ms.max(1.0))
        .min_by(f64::total_cmp)
        .unwrap_or(REPLY_PRIOR_MS)
}

/// Returns the lowest rate of failures, which the statements themselves may cause.
fn base_rate<'a>(summaries: impl Iterator<Item = &'a Summary>) -> f64 {
    summaries
        .map(|summary| summary.failure_rate)
        .min_by(f64::total_cmp)
        .unwrap_or(0.0)
}
