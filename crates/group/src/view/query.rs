//! The queries of a view's state.

use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Position;

use super::View;
use super::times;
use crate::Phase;
use crate::Row;
use crate::Source;
use crate::server::Server;

impl View {
    /// Returns the primary and its term.
    pub fn primary(&self, now: Time) -> Option<(Arc<str>, u64)> {
        let _ = now;
        let promoted = self
            .servers
            .iter()
            .find(|(_, server)| server.is_primary_of(self.term));
        if let Some((name, _)) = promoted {
            return Some((Arc::clone(name), self.term));
        }
        let (row, _) = self.lease.row.as_ref()?;
        if row.primary_term == self.term {
            return Some((Arc::clone(&row.primary), self.term));
        }
        let candidate = row.candidate.as_ref()?;
        (row.term == self.term).then(|| (Arc::clone(candidate), self.term))
    }

    /// Returns the row as last read or written.
    pub fn row(&self) -> Option<&Row> {
        self.lease.row.as_ref().map(|(row, _)| row)
    }

    /// Returns the term at which a write may be sent, or how long to wait before asking again.
    ///
    /// A write may be sent if a proof for it can be expected.
    pub fn may_send_write(&self, now: Time) -> Result<u64, Span> {
        let soon = times(self.policy.poll_interval, 2);
        let (primary, term) = self.primary(now).ok_or(soon)?;
        if self.is_being_replaced(now) || self.is_evacuated(now, &primary) {
            return Err(soon);
        }
        let Some(server) = self.servers.get(&primary) else {
            return Err(soon);
        };
        if !server.is_answering(now, &self.policy) || self.is_suspect(now, &primary) {
            return Err(self.promotion_span());
        }
        let at_term = self.count_at(now, term);
        let until = self.lease.proof_until(term, &self.policy);
        let table = at_term >= self.majority() && until.is_some_and(|until| now < until);
        if table || at_term == self.servers.len() {
            return Ok(term);
        }
        Err(soon)
    }

    /// Returns whether the primary is alive, or `None` if this instance cannot tell.
    ///
    /// An instance that reaches no majority of the servers may itself be partitioned.
    pub fn is_primary_alive(&self, now: Time) -> Option<bool> {
        let (primary, _) = self.primary(now)?;
        let server = self.servers.get(&primary)?;
        let is_followed = !server.is_replica() && !self.is_stalled(now, &primary);
        if is_followed && now.since(server.answered) <= server.tolerance(&self.policy) {
            return Some(true);
        }
        let dead = self.is_suspect(now, &primary) && self.sees_majority(now);
        dead.then_some(false)
    }

    /// Returns whether a server gets no statements any more since its zone is evacuated.
    pub fn is_evacuated(&self, now: Time, endpoint: &str) -> bool {
        self.evacuated
            .get(endpoint)
            .is_some_and(|deadline| now >= *deadline)
    }

    /// Returns the replicas that respond and are neither leaving nor evacuated.
    ///
    /// A replaced primary that still reports to be one is excluded.
    pub fn replicas(&self, now: Time) -> Vec<Source> {
        let primary = self.primary(now).map(|(primary, _)| primary);
        self.servers
            .iter()
            .filter(|(name, _)| Some(*name) != primary.as_ref())
            .filter(|(name, _)| !self.leaving.contains(*name))
            .filter(|(name, _)| !self.evacuated.contains_key(*name))
            .filter(|(_, server)| server.is_answering(now, &self.policy) && server.is_replica())
            .filter_map(|(name, server)| source(name, server))
            .collect()
    }

    /// Returns the primary as a source of reads, if it responds.
    ///
    /// Its position is the end of its term, since it holds every write of the term.
    pub fn primary_source(&self, now: Time) -> Option<Source> {
        let (name, term) = self.primary(now)?;
        let server = self.servers.get(&name)?;
        let is_usable = server.is_answering(now, &self.policy) && server.is_primary_of(term);
        if !is_usable || self.is_evacuated(now, &name) {
            return None;
        }
        let mut source = source(&name, server)?;
        source.applied = Position {
            term,
            offset: u64::MAX,
        };
        Some(source)
    }

    /// Returns the start and the position of the latest status query that is known to have reached
    /// the primary of the latest term.
    pub fn confirmed(&self, now: Time) -> Option<(Time, Position)> {
        let _ = now;
        self.freshness
            .latest()
            .filter(|(_, position)| position.term == self.term)
    }

    /// Returns true if a later term is ordered.
    ///
    /// An order that was not observed recently does not count: without the table the promotion
    /// cannot continue.
    fn is_being_replaced(&self, now: Time) -> bool {
        let Some((row, _)) = &self.lease.row else {
            return false;
        };
        let ordered = row.phase == Phase::Ordered && row.term > self.term;
        let seen = self.lease.read_started.max(self.lease.first_seen);
        ordered && now.since(seen) < self.policy.proof_lease
    }

    /// Returns the number of servers that respond and are at `term`.
    fn count_at(&self, now: Time, term: u64) -> usize {
        self.servers
            .values()
            .filter(|server| {
                server.is_answering(now, &self.policy) && server.received().term == term
            })
            .count()
    }

    /// Returns the approximate duration of an unplanned promotion once the primary is suspected.
    fn promotion_span(&self) -> Span {
        self.policy.proof_lease + self.policy.silence_timeout
    }
}

fn source(name: &Arc<str>, server: &Server) -> Option<Source> {
    Some(Source {
        endpoint: Arc::clone(name),
        zone: Arc::clone(&server.zone),
        applied: server.status?.applied,
        fresh_at: server.fresh_at,
    })
}
