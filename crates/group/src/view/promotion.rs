//! The steps of a promotion after it was ordered.

use std::sync::Arc;

use clock::Time;
use endpoint::Position;
use timeline::Kind;
use timeline::event;

use super::Promotion;
use super::View;
use super::choice::Choice;
use super::times;
use crate::Action;
use crate::Phase;
use crate::Row;

/// How long a responding candidate may take to be promoted, in proof leases.
const PROMOTE_LEASES: u64 = 8;

impl View {
    /// Takes the next step of a promotion that this instance ordered or took over.
    pub(super) fn drive_promotion(&mut self, now: Time, row: &Row, version: u64) {
        if self.promotion.term != row.term {
            self.promotion = Promotion {
                term: row.term,
                ..Promotion::default()
            };
        }
        match &row.candidate {
            None => self.find_candidate(now, row, version),
            Some(candidate) => self.promote(now, row, version, &Arc::clone(candidate)),
        }
    }

    /// Waits until the table proofs of earlier terms have expired or been given up, then writes the
    /// candidate to the row.
    fn find_candidate(&mut self, now: Time, row: &Row, version: u64) {
        let Some(expire_at) = self.lease.proofs_expire_at(&self.policy) else {
            return;
        };
        if self.promotion.expired_at.is_none() {
            if now < expire_at && !self.all_acknowledged(now, row, version) {
                return;
            }
            self.promotion.expired_at = Some(now);
        }
        let from = self.promotion.expired_at.unwrap_or(now);
        let wait_for_primary = row.planned && now < expire_at;
        match self.choose(row, from, wait_for_primary) {
            Choice::Found(candidate, base) => {
                self.write_candidate(now, row, version, candidate, base);
            }
            Choice::Overtaken => self.order(now, row, version, false),
            Choice::Wait(reason) => {
                self.extra_poll = true;
                // The first statuses that started after the expiry may still be in flight.
                if now.since(from) >= self.policy.refusal_timeout {
                    self.record_obstacle(reason);
                }
            }
        }
    }

    fn write_candidate(
        &mut self,
        now: Time,
        row: &Row,
        version: u64,
        candidate: Arc<str>,
        base: Position,
    ) {
        let chosen = event(Kind::Group, "candidate")
            .with("term", row.term)
            .with("candidate", &candidate)
            .with("base", base);
        self.record(chosen);
        let next = Row {
            candidate: Some(candidate),
            base: Some(base),
            ..row.clone()
        };
        self.commit(now, version, next);
    }

    /// Promotes the candidate until it reports the term, or orders the next term if it failed.
    fn promote(&mut self, now: Time, row: &Row, version: u64, candidate: &Arc<str>) {
        if self.is_candidate_promoted(row) {
            self.complete_promotion(now, row, version);
            return;
        }
        let from = self.lease.first_seen.max(self.running_since);
        let overdue = now.since(from) > times(self.policy.proof_lease, PROMOTE_LEASES);
        let dead = self
            .servers
            .get(candidate)
            .is_none_or(|server| server.is_suspect(now, from, &self.policy));
        if (dead || overdue) && self.sees_majority(now) {
            let failed = event(Kind::Group, "candidate-failed")
                .with("term", row.term)
                .with("candidate", candidate);
            self.record(failed);
            self.order(now, row, version, false);
            return;
        }
        if now.since(self.promotion.promoted_at) >= times(self.policy.poll_interval, 2) {
            self.promotion.promoted_at = now;
            self.actions.push(Action::Promote {
                endpoint: Arc::clone(candidate),
                term: row.term,
            });
        }
        self.extra_poll = true;
    }

    /// Returns true if the candidate reports to be the primary of the row's term.
    pub(super) fn is_candidate_promoted(&self, row: &Row) -> bool {
        row.candidate
            .as_ref()
            .and_then(|candidate| self.servers.get(candidate))
            .is_some_and(|server| server.is_primary_of(row.term))
    }

    /// Writes to the row that the promotion is complete.
    pub(super) fn complete_promotion(&mut self, now: Time, row: &Row, version: u64) {
        let Some(primary) = row.candidate.clone() else {
            return;
        };
        let settled = event(Kind::Group, "promoted")
            .with("term", row.term)
            .with("primary", &primary)
            .with("planned", row.planned);
        self.record(settled);
        let next = Row {
            phase: Phase::Steady,
            primary,
            primary_term: row.term,
            candidate: None,
            ..row.clone()
        };
        self.commit(now, version, next);
    }

    /// Returns true if every instance that may hold a table proof has given it up.
    ///
    /// Otherwise requests the list of instances, or the replies that are missing.
    fn all_acknowledged(&mut self, now: Time, row: &Row, version: u64) -> bool {
        let Some(instances) = &self.promotion.instances else {
            if now.since(self.promotion.listed_at) >= self.policy.poll_interval {
                self.promotion.listed_at = now;
                self.actions.push(Action::ListInstances);
            }
            return false;
        };
        let missing: Vec<_> = instances
            .iter()
            .filter(|name| **name != self.instance)
            .filter(|name| !self.promotion.acknowledged.contains(*name))
            .cloned()
            .collect();
        if missing.is_empty() {
            return true;
        }
        if now.since(self.promotion.announced_at) >= self.policy.poll_interval {
            self.promotion.announced_at = now;
            self.actions.push(Action::Announce {
                instances: missing,
                row: row.clone(),
                version,
            });
        }
        false
    }
}
