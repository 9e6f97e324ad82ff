//! The group's row as last read, and how long that read supports acknowledgements.

use clock::Time;

use crate::Phase;
use crate::Policy;
use crate::Row;

/// How an observed row relates to the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RowChange {
    /// It is the known row.
    Unchanged,
    /// It replaced the known row.
    Newer,
    /// It is older than the known row, from a response that arrived late.
    Stale,
    /// It has a later revision but a lower term, which no correct writer produces.
    TermFell,
}

/// The latest row and the read that showed it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lease {
    /// The row and its version; neither revision nor term ever decreases.
    pub(crate) row: Option<(Row, u64)>,
    /// The start of this instance's latest read that returned `row`; zero if only a peer sent it.
    pub(crate) read_started: Time,
    /// When `row` was first observed.
    pub(crate) first_seen: Time,
    /// When the row's term was first observed in phase `Ordered`.
    ///
    /// The order was written before, so the expiry of proofs of earlier terms counts from here.
    pub(crate) ordered_since: Option<Time>,
    /// The times between which this instance's own row is known to be in the table.
    pub(crate) registered: (Time, Time),
}

impl Lease {
    /// Applies a row; `started` is when the read began, or `None` if a peer announced it.
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
        // A table that returned to an older copy may give out a known version again.
        if *known_version == version && *known == row {
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

    /// Returns until when the row proves that `term` is not being replaced.
    pub(crate) fn proof_until(&self, term: u64, policy: &Policy) -> Option<Time> {
        let (row, _) = self.row.as_ref()?;
        let (from, until) = self.registered;
        if row.phase != Phase::Steady || row.term != term || self.read_started < from {
            return None;
        }
        Some(until.min(self.read_started + policy.proof_lease))
    }

    /// Returns true if a read that returned the row began within the proof lease.
    pub(crate) fn is_fresh(&self, now: Time, policy: &Policy) -> bool {
        self.row.is_some() && now < self.read_started + policy.proof_lease
    }

    /// Returns when the table proofs of all terms before the ordered one have expired at every
    /// instance.
    pub(crate) fn proofs_expire_at(&self, policy: &Policy) -> Option<Time> {
        Some(self.ordered_since? + policy.proof_lease + policy.clock_drift)
    }
}
