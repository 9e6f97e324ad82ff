//! The inputs of a view.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Role;
use endpoint::Status;
use timeline::Kind;
use timeline::event;

use super::Handover;
use super::View;
use crate::Action;
use crate::Failure;
use crate::Member;
use crate::Outcome;
use crate::Phase;
use crate::Policy;
use crate::Row;
use crate::Votes;
use crate::lease::RowChange;
use crate::server::Server;

impl View {
    /// Applies a server's status; `started` is when the query began.
    pub fn on_status(&mut self, now: Time, started: Time, endpoint: &str, status: Status) {
        self.note_running(now);
        let Some(server) = self.servers.get_mut(endpoint) else {
            return;
        };
        if !server.on_status(now, started, status) {
            let fell = event(Kind::Endpoint, "term-fell")
                .with("endpoint", endpoint)
                .with("received", status.received);
            self.record(fell);
            return;
        }
        self.raise_term(status.received.term);
        self.refresh(now, started, endpoint, status);
        self.track_replication(now);
    }

    /// Records that a status query failed.
    pub fn on_status_failed(&mut self, now: Time, endpoint: &str, failure: Failure) {
        self.note_running(now);
        if let Some(server) = self.servers.get_mut(endpoint) {
            server.on_failure(failure);
        }
    }

    /// Records that a server responded to any statement, even with an error.
    pub fn on_answer(&mut self, now: Time, endpoint: &str) {
        self.note_running(now);
        if let Some(server) = self.servers.get_mut(endpoint) {
            server.on_answer(now);
        }
    }

    /// Applies a read of the group's row; `started` is when the read began.
    pub fn on_row(&mut self, now: Time, started: Time, row: Row, version: u64) {
        self.note_running(now);
        self.observe_row(now, Some(started), row, version);
    }

    /// Records that the table has no row for the group.
    ///
    /// Requests the first row once every server responds and exactly one is a primary.
    pub fn on_no_row(&mut self, now: Time) {
        self.note_running(now);
        let complete = self
            .servers
            .values()
            .all(|server| server.is_answering(now, &self.policy));
        let primaries: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, server)| server.status.is_some_and(|s| s.role == Role::Primary))
            .collect();
        let [(endpoint, server)] = primaries.as_slice() else {
            return;
        };
        let leads = server.received().term == self.term;
        if !complete || !leads || self.lease.row.is_some() || self.pending.is_some() {
            return;
        }
        let row = Row::first(self.term, Arc::clone(endpoint));
        self.pending = Some(now);
        self.actions.push(Action::Create { row });
    }

    /// Records that the table did not respond.
    pub fn on_table_failed(&mut self, now: Time) {
        self.note_running(now);
    }

    /// Applies the result of an `Action::Commit` or `Action::Create` of `row` that began at
    /// `started`.
    pub fn on_commit_result(&mut self, now: Time, started: Time, row: Row, outcome: Outcome) {
        self.note_running(now);
        self.pending = None;
        match outcome {
            Outcome::Committed { version } => self.observe_row(now, Some(started), row, version),
            Outcome::Conflict {
                current: Some((row, version)),
            } => self.observe_row(now, Some(started), row, version),
            Outcome::Conflict { current: None } | Outcome::Refused | Outcome::Unknown => {
                self.reread_from = now;
                self.extra_read = true;
            }
        }
    }

    /// Sets the times between which this instance's own row is known to be in the table.
    ///
    /// Outside of them there is no table proof: a planned handover asks the instances whose rows
    /// it finds to give up their proofs, so every instance that holds one must have a row.
    pub fn on_registered(&mut self, from: Time, until: Time) {
        self.lease.registered = (from, until);
    }

    /// Applies the peers' votes after an `Action::AskPeers`.
    pub fn on_votes(&mut self, now: Time, votes: Votes) {
        self.note_running(now);
        let before = votes
            .answers
            .keys()
            .filter(|peer| **peer < self.instance)
            .count();
        self.rank = u64::try_from(before).unwrap_or(u64::MAX);
        self.votes = Some((now, votes));
    }

    /// Applies the names of all instance rows, from a read that began at `started`.
    pub fn on_instances(&mut self, now: Time, started: Time, names: BTreeSet<Arc<str>>) {
        self.note_running(now);
        let after_order = self
            .lease
            .ordered_since
            .is_some_and(|since| started >= since);
        if after_order && self.is_promoting() {
            self.promotion.instances = Some(names);
        }
    }

    /// Applies a row that a peer announced.
    ///
    /// Returns true if the proofs of earlier terms are given up; the peer may be told so with a
    /// reply that has the row's revision. They are kept if the known row has a higher revision but
    /// a lower term, which a table that returned to an older copy leads to.
    pub fn on_announced(&mut self, now: Time, row: Row, version: u64) -> bool {
        self.note_running(now);
        let term = row.term;
        self.observe_row(now, None, row, version);
        self.extra_read = true;
        let known = self.lease.row.as_ref();
        known.is_some_and(|(known, _)| known.term >= term)
    }

    /// Applies a peer's reply to an `Action::Announce`.
    pub fn on_acknowledged(&mut self, now: Time, peer: &str, revision: u64) {
        self.note_running(now);
        let known = self.lease.row.as_ref().map(|(row, _)| row.revision);
        if known == Some(revision) && self.is_promoting() {
            self.promotion.acknowledged.insert(Arc::from(peer));
        }
    }

    /// Sets the endpoints that are leaving; they are preferred last in a promotion.
    pub fn set_leaving(&mut self, endpoints: BTreeSet<Arc<str>>) {
        self.leaving = endpoints;
    }

    /// Sets the endpoints of evacuated zones, with their deadlines.
    ///
    /// A primary among them gets statements until its deadline, so that its role can be handed
    /// over before these are refused. A replica gets none at once.
    pub fn set_evacuated(&mut self, endpoints: BTreeMap<Arc<str>, Time>) {
        self.evacuated = endpoints;
    }

    /// Sets the durations after a change of the settings.
    pub fn set_policy(&mut self, policy: Policy) {
        assert!(policy.proof_lease > Span::ZERO, "proofs need a lease");
        self.policy = policy;
    }

    /// Ends all proofs, before another view of the same instance and group is opened.
    ///
    /// A promoter takes the confirmation of the other view for that of the whole instance.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Sets the servers of the group after a change of the settings.
    ///
    /// The state of servers that stay in their zone is kept.
    pub fn set_members(&mut self, members: Vec<Member>) {
        let mut known = std::mem::take(&mut self.servers);
        for member in members {
            let server = match known.remove(&member.endpoint) {
                Some(server) if server.zone == member.zone => server,
                _ => Server::new(member.zone),
            };
            self.servers.insert(member.endpoint, server);
        }
    }

    /// Requests a planned handover from a healthy primary; repeated requests have no effect.
    pub fn request_handover(&mut self, now: Time, why: &str, from: &str) {
        self.note_running(now);
        let row = self.lease.row.as_ref().map(|(row, _)| row);
        if row.is_some_and(|row| &*row.primary != from) || self.handover.is_some() {
            return;
        }
        self.handover = Some(Handover {
            asked_at: now,
            why: Arc::from(why),
            from: Arc::from(from),
        });
    }

    fn observe_row(&mut self, now: Time, started: Option<Time>, row: Row, version: u64) {
        let shown = row.clone();
        match self.lease.observe(now, started, row, version) {
            RowChange::Unchanged | RowChange::Stale => return,
            RowChange::TermFell => {
                let fell = event(Kind::Group, "row-term-fell").with("term", shown.term);
                self.record(fell);
                return;
            }
            RowChange::Newer => {}
        }
        if shown.phase == Phase::Steady {
            self.raise_term(shown.term);
        }
        self.obstacle = None;
        self.agreed_since = None;
        self.extra_poll = true;
        if self
            .handover
            .as_ref()
            .is_some_and(|h| h.from != shown.primary)
        {
            self.handover = None;
        }
        let seen = event(Kind::Group, "row")
            .with("term", shown.term)
            .with("phase", shown.phase)
            .with("primary", &shown.primary)
            .with("promoter", &shown.promoter)
            .with("candidate", shown.candidate.as_deref().unwrap_or("none"));
        self.record(seen);
        let is_own = shown.promoter == self.instance && shown.candidate.is_none();
        if is_own && started.is_some() {
            self.actions.push(Action::Announce {
                instances: Vec::new(),
                row: shown,
                version,
            });
        }
    }

    fn raise_term(&mut self, term: u64) {
        if term > self.term {
            self.term = term;
            self.term_since = self.last_run;
            self.record(event(Kind::Group, "term").with("term", term));
        }
    }

    /// Returns true if this instance is carrying out the promotion that the row orders.
    fn is_promoting(&self) -> bool {
        let Some((row, _)) = &self.lease.row else {
            return false;
        };
        row.phase == Phase::Ordered
            && row.promoter == self.instance
            && self.promotion.term == row.term
    }

    /// Updates the freshness of each server's data after a status.
    fn refresh(&mut self, now: Time, started: Time, endpoint: &str, status: Status) {
        let is_primary = status.role == Role::Primary && status.received.term == self.term;
        if is_primary
            && self
                .primary(now)
                .is_some_and(|(name, _)| &*name == endpoint)
        {
            let until = self.lease.proof_until(self.term, &self.policy);
            if until.is_some_and(|until| now < until) {
                self.freshness.confirm(started, status.received);
            } else {
                self.freshness.defer(started, status.received);
            }
        }
        self.confirm_by_servers(now);
        for server in self.servers.values_mut() {
            let Some(status) = server.status else {
                continue;
            };
            let fresh_at = self.freshness.covered_by(status.applied);
            server.fresh_at = server.fresh_at.max(fresh_at);
        }
    }

    /// Confirms the queries of the primary after which every other server was still at its term.
    fn confirm_by_servers(&mut self, now: Time) {
        let Some((primary, term)) = self.primary(now) else {
            return;
        };
        let mut oldest = Time::NEVER;
        for (name, server) in &self.servers {
            if *name == primary {
                continue;
            }
            if server.status.is_none() || server.received().term != term {
                return;
            }
            oldest = oldest.min(server.started);
        }
        self.freshness.confirm_until(oldest, term);
    }
}
