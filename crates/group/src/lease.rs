//! The group's row as it was last seen, and for how long that supports acknowledgements.

use clock::Time;

use crate::Phase;
use crate::Policy;
use crate::Row;

/// What came of a row that was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RowChange {
    /// It is the row that was known.
    Unchanged,
    /// It replaced the row that was known.
    Newer,
    /// It is older than the row that was known, from an answer that came late.
    Stale,
    /// It claims a later revision with a lower term.
    TermFell,
}

/// The latest row and the read that showed it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lease {
    /// The row and its version; neither revision nor term ever falls.
    pub(crate) row: Option<(Row, u64)>,
    /// The start of the latest own read that showed `row`; zero if only a peer showed it.
    pub(crate) read_started: Time,
    /// When `row` was first seen.
    pub(crate) first_seen: Time,
    /// When the row's term was first seen to be ordered.
    ///
    /// The order was written before, so the proofs of earlier terms lapse from here.
    pub(crate) ordered_since: Option<Time>,
    /// This instance's own row is in the table from the first to the second point.
    pub(crate) registered: (Time, Time),
}

impl Lease {
    /// Takes a row; `started` is `None` if a peer announced it.
    pub(crate) fn observe(
        &mut self,
        now: Time,
        started: Option<Time>,
        row: Row,
        version: u64,
    ) -> RowChange {
        let started = started.unwrap_or(Time::ZERO);
        let Some((known, known_version)) = &self.row else {
            self.replace(now, started, row, version);
            return RowChange::Newer;
        };
        if row.revision < known.revision {
            return RowChange::Stale;
        }
        if row.term < known.term {
            return RowChange::TermFell;
        }
        if *known_version == version {
            self.read_started = self.read_started.max(started);
            return RowChange::Unchanged;
        }
        self.replace(now, started, row, version);
        RowChange::Newer
    }

    fn replace(&mut self, now: Time, started: Time, row: Row, version: u64) {
        let known_term = self.row.as_ref().map(|(known, _)| known.term);
        assert!(
            known_term <= Some(row.term),
            "a lower term replaced a higher one"
        );
        self.ordered_since = match row.phase {
            Phase::Steady => None,
            Phase::Ordered if known_term == Some(row.term) => self.ordered_since.or(Some(now)),
            Phase::Ordered => Some(now),
        };
        self.row = Some((row, version));
        self.read_started = started;
        self.first_seen = now;
    }

    /// Returns the point until which the row proves that `term` is not being replaced.
    pub(crate) fn proof_until(&self, term: u64, policy: &Policy) -> Option<Time> {
        let (row, _) = self.row.as_ref()?;
        let (from, until) = self.registered;
        if row.phase != Phase::Steady || row.term != term || self.read_started < from {
            return None;
        }
        Some(until.min(self.read_started + policy.proof_lease))
    }

    /// Says whether a read that showed the row was begun within the lease.
    pub(crate) fn is_fresh(&self, now: Time, policy: &Policy) -> bool {
        self.row.is_some() && now < self.read_started + policy.proof_lease
    }

    /// Returns when the table proofs of all terms before the ordered one have lapsed everywhere.
    pub(crate) fn proofs_lapse_at(&self, policy: &Policy) -> Option<Time> {
        Some(self.ordered_since? + policy.proof_lease + policy.clock_drift)
    }
}
