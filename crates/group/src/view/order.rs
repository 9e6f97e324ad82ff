//! The conditions for ordering a promotion: failure detection, votes, planned handovers and
//! takeovers from a failed promoter.

use clock::Span;
use clock::Time;
use timeline::Kind;
use timeline::event;

use super::View;
use super::times;
use crate::Action;
use crate::Phase;
use crate::Row;
use crate::Votes;

/// How long the peers' votes are valid, in polls.
const VOTES_POLLS: u64 = 4;

/// How long a promoter may take for one step before another instance takes over, in proof leases.
const TAKEOVER_LEASES: u64 = 3;

/// How long a planned handover waits for a replica that is fresh enough.
const HANDOVER_TIMEOUT: Span = Span::from_secs(5);

impl View {
    /// Orders a promotion if the primary has failed or a handover was requested.
    pub(super) fn consider_order(&mut self, now: Time, row: &Row, version: u64) {
        if !self.lease.is_fresh(now, &self.policy) {
            self.agreed_since = None;
            return;
        }
        if !self.is_suspect(now, &row.primary) {
            self.agreed_since = None;
            self.consider_handover(now, row, version);
            return;
        }
        self.ask_peers(now, row.term);
        if !self.sees_majority(now) {
            self.agreed_since = None;
            self.record_obstacle("no-majority-of-servers");
            return;
        }
        if !self.peers_agree(now, row.term) {
            self.agreed_since = None;
            if self.votes.is_some() {
                self.record_obstacle("peers-do-not-agree");
            }
            return;
        }
        let since = *self.agreed_since.get_or_insert(now);
        if now.since(since) >= times(self.policy.promotion_stagger, self.rank) {
            self.order(now, row, version, false);
        }
    }

    /// Takes over an ordered promotion whose promoter makes no progress.
    pub(super) fn consider_takeover(&mut self, now: Time, row: &Row, version: u64) {
        if !self.lease.is_fresh(now, &self.policy) || !self.sees_majority(now) {
            return;
        }
        let turn = times(self.policy.promotion_stagger, self.rank);
        let from = self.lease.first_seen.max(self.running_since);
        if self.is_candidate_promoted(row) {
            if now.since(from) >= times(self.policy.poll_interval, 3) + turn {
                self.complete_promotion(now, row, version);
            }
            return;
        }
        let patience = times(self.policy.proof_lease, TAKEOVER_LEASES) + turn;
        if now.since(from) < patience {
            return;
        }
        let taken = event(Kind::Group, "takeover")
            .with("term", row.term)
            .with("promoter", &row.promoter);
        self.record(taken);
        let mut next = row.clone();
        next.planned = false;
        self.commit(now, version, next);
    }

    /// Orders a promotion to the next term.
    pub(super) fn order(&mut self, now: Time, row: &Row, version: u64, planned: bool) {
        let highest = self
            .servers
            .values()
            .map(|server| server.received().term)
            .fold(row.term.max(self.term), u64::max);
        let term = highest + 1;
        let ordered = event(Kind::Group, "order")
            .with("term", term)
            .with("planned", planned)
            .with("replaces", &row.primary);
        self.record(ordered);
        self.agreed_since = None;
        let next = Row {
            term,
            phase: Phase::Ordered,
            candidate: None,
            base: None,
            planned,
            ..row.clone()
        };
        self.commit(now, version, next);
    }

    /// Starts a requested handover once a replica is fresh enough.
    fn consider_handover(&mut self, now: Time, row: &Row, version: u64) {
        let Some(handover) = self.handover.clone() else {
            self.obstacle = None;
            return;
        };
        if now.since(handover.asked_at) >= HANDOVER_TIMEOUT {
            self.handover = None;
            return;
        }
        if now.since(handover.asked_at) < times(self.policy.promotion_stagger, self.rank) {
            return;
        }
        let close = self.servers.iter().any(|(name, server)| {
            *name != row.primary
                && !self.evacuated.contains_key(name)
                && server.is_answering(now, &self.policy)
                && server.fresh_at.is_some_and(|fresh_at| {
                    now.since(fresh_at) <= self.policy.handover_max_staleness
                })
        });
        if !close || !self.sees_majority(now) {
            self.record_obstacle("no-replica-close-enough");
            return;
        }
        let begun = event(Kind::Group, "handover")
            .with("from", &handover.from)
            .with("why", &handover.why);
        self.record(begun);
        self.order(now, row, version, true);
    }

    fn ask_peers(&mut self, now: Time, term: u64) {
        if now.since(self.asked_at) >= self.policy.poll_interval {
            self.asked_at = now;
            self.actions.push(Action::AskPeers { term });
        }
    }

    /// Returns true if recent votes call the primary dead by a majority.
    fn peers_agree(&self, now: Time, term: u64) -> bool {
        let Some((came, votes)) = &self.votes else {
            return false;
        };
        let recent = now.since(*came) <= times(self.policy.poll_interval, VOTES_POLLS);
        recent && votes.term == term && is_majority(votes)
    }
}

/// Returns true if this instance and the peers that call the primary dead outnumber those that
/// call it alive.
///
/// An instance that has peers needs at least one of them to agree.
fn is_majority(votes: &Votes) -> bool {
    let count = |vote| votes.answers.values().filter(|v| **v == Some(vote)).count();
    let (dead, alive) = (count(false), count(true));
    if votes.peers > 0 && dead == 0 {
        return false;
    }
    dead + 1 > alive
}
