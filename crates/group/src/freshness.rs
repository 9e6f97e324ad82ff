//! The history of the primary's position, from which the staleness of replicas is derived.

use std::collections::VecDeque;

use clock::Span;
use clock::Time;
use endpoint::Position;

/// The maximum number of confirmed queries of the primary that are kept.
const CONFIRMED_KEPT: usize = 2_048;

/// The minimum interval between the starts of kept queries, except for the latest.
const CONFIRMED_GAP: Span = Span::from_millis(50);

/// The maximum number of queries that wait for confirmation.
const WAITING_KEPT: usize = 16;

/// The status queries of the primary: the start of each and the position that it returned.
#[derive(Clone, Debug, Default)]
pub(crate) struct Freshness {
    /// Queries known to have reached the only primary; both start and position increase.
    confirmed: VecDeque<(Time, Position)>,
    /// Queries that may have reached a primary that had been replaced.
    waiting: VecDeque<(Time, Position)>,
}

impl Freshness {
    /// Adds a query that is known to have reached the only primary.
    pub(crate) fn confirm(&mut self, started: Time, position: Position) {
        let (last_started, last_position) = self.latest().unwrap_or_default();
        if started <= last_started || position < last_position {
            return;
        }
        self.coalesce_latest();
        self.confirmed.push_back((started, position));
        if self.confirmed.len() > CONFIRMED_KEPT {
            self.confirmed.pop_front();
        }
    }

    /// Drops the latest query if it started soon after the one before.
    ///
    /// The bounded history then covers a longer time.
    fn coalesce_latest(&mut self) {
        let Some(before) = self.confirmed.len().checked_sub(2) else {
            return;
        };
        let (last_started, _) = self.latest().unwrap_or_default();
        if last_started.since(self.confirmed[before].0) < CONFIRMED_GAP {
            self.confirmed.pop_back();
        }
    }

    /// Adds a query that is not confirmed yet.
    pub(crate) fn defer(&mut self, started: Time, position: Position) {
        self.waiting.push_back((started, position));
        if self.waiting.len() > WAITING_KEPT {
            self.waiting.pop_front();
        }
    }

    /// Confirms the waiting queries of `term` that started no later than `until`.
    pub(crate) fn confirm_until(&mut self, until: Time, term: u64) {
        while let Some((started, position)) = self.waiting.front().copied() {
            if started > until {
                return;
            }
            self.waiting.pop_front();
            if position.term == term {
                self.confirm(started, position);
            }
        }
    }

    /// Returns the latest confirmed query.
    pub(crate) fn latest(&self) -> Option<(Time, Position)> {
        self.confirmed.back().copied()
    }

    /// Returns the start of the latest confirmed query whose position `applied` covers.
    pub(crate) fn covered_by(&self, applied: Position) -> Option<Time> {
        let covered = self
            .confirmed
            .partition_point(|(_, position)| *position <= applied);
        let last = covered.checked_sub(1)?;
        self.confirmed.get(last).map(|(started, _)| *started)
    }
}
