//! The proofs that a write survives any promotion, required before its acknowledgement.

use clock::Time;
use endpoint::Position;

use super::View;
use crate::Ack;
use crate::Proof;

impl View {
    /// Returns whether a write that committed at `position` may be acknowledged.
    pub fn proof(&mut self, now: Time, position: Position) -> Ack {
        self.note_running(now);
        if self.policy.proof == Proof::None {
            return Ack::Proven { until: Time::NEVER };
        }
        if self.is_closed {
            return Ack::Wait;
        }
        let ack = if position.term < self.term {
            self.inherited(now, position)
        } else {
            self.direct(now, position)
        };
        match ack {
            Ack::Proven { .. } => self.note_proven(position),
            Ack::Wait => {
                self.extra_poll = true;
                let until = self.lease.proof_until(self.term, &self.policy);
                self.extra_read |= until.is_none_or(|until| until <= now);
            }
            Ack::Replaced => {}
        }
        ack
    }

    /// Proves a position of the latest term by the table proof or the server proof.
    fn direct(&self, now: Time, position: Position) -> Ack {
        if position.term != self.term {
            return Ack::Wait;
        }
        let until = self
            .table_proof(position)
            .max(self.server_proof(position))
            .filter(|until| now < *until);
        match until {
            Some(until) => Ack::Proven { until },
            None => Ack::Wait,
        }
    }

    /// Returns when the table proof expires: a majority of the servers holds the position, and a
    /// read of the table showed that the term is not being replaced.
    fn table_proof(&self, position: Position) -> Option<Time> {
        let holders = self
            .servers
            .values()
            .filter(|server| server.holds(position))
            .count();
        if holders < self.majority() {
            return None;
        }
        self.lease.proof_until(position.term, &self.policy)
    }

    /// Returns when the server proof expires: every server holds the position at its term, so any
    /// candidate does.
    fn server_proof(&self, position: Position) -> Option<Time> {
        if !self.servers.values().all(|server| server.holds(position)) {
            return None;
        }
        let oldest = self.servers.values().map(|server| server.started).min()?;
        Some(oldest + self.policy.proof_lease)
    }

    /// Proves a position of the term directly before the latest, if the latest term contains it.
    ///
    /// With another term in between, its candidate may have been promoted, and the later candidate
    /// may have dropped records to follow it before its own promotion.
    fn inherited(&self, now: Time, position: Position) -> Ack {
        let Some((row, _)) = self.lease.row.as_ref() else {
            return Ack::Wait;
        };
        if row.term != self.term {
            return Ack::Wait;
        }
        let follows = |base: &Position| base.term == position.term && base.term + 1 == row.term;
        let Some(base) = row.base.filter(follows) else {
            return Ack::Replaced;
        };
        let promoted = row.candidate.as_ref().unwrap_or(&row.primary);
        let held = self
            .servers
            .get(promoted)
            .is_some_and(|server| server.has_held(position));
        if position > base && !held {
            return Ack::Replaced;
        }
        let start = Position {
            term: self.term,
            offset: 0,
        };
        self.direct(now, start)
    }

    fn note_proven(&mut self, position: Position) {
        assert!(
            position.term <= self.term,
            "acknowledged {position} without having seen its term"
        );
        assert!(
            self.proven.term <= self.term,
            "acknowledged at a term after a higher one"
        );
        self.proven = self.proven.max(position);
    }
}
