//! Chooses a server that can become primary without losing an acknowledged commit.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use endpoint::Position;

/// Replication state collected from a group whose primary is being replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Survey {
    /// All servers that may hold acknowledged commits, the old primary among them.
    pub holders: BTreeSet<Arc<str>>,
    /// Holders that are gone, each with a position at or after every commit that it confirmed.
    pub covered: BTreeMap<Arc<str>, Position>,
    /// How many replicas must hold a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// The old primary's last position if it was demoted, so that it acknowledges nothing more.
    pub demoted: Option<(Arc<str>, Position)>,
    /// Whether the demoted server was not seen leading since its start, so that its log need not have
    /// every acknowledged commit: it may have started again without its log.
    pub is_unproven: bool,
    /// Positions received by paused replicas, which acknowledge nothing more.
    pub paused: BTreeMap<Arc<str>, Position>,
    /// Positions received by replicas that are not paused and may receive more.
    pub receiving: BTreeMap<Arc<str>, Position>,
    /// The highest position in a reply that acknowledged a commit. It may be that of a later commit of
    /// another session that no replica has received.
    pub acknowledged: Position,
    /// Whether every replica that had confirmed such a commit has written its entry by now.
    pub is_complete: bool,
    /// Servers that are about to leave or are cold; one is chosen only if no other server qualifies.
    pub leaving: BTreeSet<Arc<str>>,
    /// Servers in evacuated zones; none of them is chosen.
    pub evacuated: BTreeSet<Arc<str>>,
}

/// What to do next in a failover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Promote this server.
    Promote(Arc<str>),
    /// An acknowledged commit could be lost; wait for more servers to answer.
    Wait {
        /// What is missing, for the log.
        why: &'static str,
    },
}

impl Survey {
    /// The rule by which the longest of the stopped logs is chosen.
    pub const BY_STOPPED_LOGS: &str = "longest stopped log";

    /// Chooses a server that holds every acknowledged commit.
    ///
    /// A commit is acknowledged once the primary and `sync_replicas` others hold it. It is in the
    /// log of a server that has all of the demoted primary's log, or in the longest of the stopped
    /// logs if at most `sync_replicas` of the possible holders are missing from these. A log that ends
    /// before `acknowledged` may still have all of them, as the rest may never have reached a replica;
    /// but a holder may be unknown, so that needs `is_complete`.
    pub fn choose(&self) -> Choice {
        if let Some(chosen) = self.successor_of_demoted() {
            return Choice::Promote(chosen);
        }
        let stopped = self.stopped();
        let longest = stopped.values().max().copied();
        let is_covered = |name| self.covered.get(name).copied() <= longest;
        let missing = self
            .holders
            .iter()
            .filter(|name| !stopped.contains_key(*name))
            .filter(|name| !(self.covered.contains_key(*name) && is_covered(*name)))
            .count();
        if missing > self.sync_replicas {
            return Choice::Wait {
                why: "too few servers answer",
            };
        }
        let Some(longest) = longest else {
            return Choice::Wait {
                why: "no replica answers",
            };
        };
        // The acknowledged commit itself is in the term of `acknowledged`.
        if self.is_short() && !(self.is_complete && longest.term == self.acknowledged.term) {
            return Choice::Wait {
                why: "no replica holds the last acknowledged commit",
            };
        }
        self.best_candidate(&stopped, longest).map_or(
            Choice::Wait {
                why: "no server outside the evacuated zones has the whole log",
            },
            Choice::Promote,
        )
    }

    /// Returns the rule by which `choose` chooses a server, for the log.
    pub fn rule(&self) -> &'static str {
        match self.successor_of_demoted() {
            Some(_) => "whole log of the demoted primary",
            None => Self::BY_STOPPED_LOGS,
        }
    }

    /// Returns the position that a server's log has reached, if it answered.
    pub fn position(&self, server: &str) -> Option<Position> {
        let demoted = self.demoted.as_ref().filter(|(name, _)| **name == *server);
        let position = demoted.map(|(_, position)| position);
        let position = position.or_else(|| self.paused.get(server));
        position.or_else(|| self.receiving.get(server)).copied()
    }

    /// Returns whether all stopped logs end before the highest position in a reply.
    fn is_short(&self) -> bool {
        let longest = self.stopped().into_values().max();
        longest.is_some_and(|longest| longest < self.acknowledged)
    }

    /// Returns the positions of the servers that confirm nothing more.
    fn stopped(&self) -> BTreeMap<Arc<str>, Position> {
        let mut stopped = self.paused.clone();
        stopped.extend(self.demoted.clone());
        stopped
    }

    /// Returns whether the demoted server's log is known to have every acknowledged commit.
    pub fn has_whole_log(&self) -> bool {
        let demoted = self.demoted.as_ref();
        // The primary's own log reaches each position that it has named in a reply.
        let reaches_replies = demoted.is_some_and(|(_, end)| *end >= self.acknowledged);
        reaches_replies && !self.is_unproven
    }

    fn successor_of_demoted(&self) -> Option<Arc<str>> {
        let (old, end) = self.demoted.as_ref().filter(|_| self.has_whole_log())?;
        let mut logs = self.receiving.clone();
        logs.extend(self.paused.clone());
        logs.remove(old);
        self.best_candidate(&logs, *end)
    }

    /// Returns a server whose log reaches `end`, outside the evacuated zones, preferring one that is
    /// not leaving, then the one with the longest log.
    fn best_candidate(
        &self,
        logs: &BTreeMap<Arc<str>, Position>,
        end: Position,
    ) -> Option<Arc<str>> {
        logs.iter()
            .filter(|(name, position)| **position >= end && !self.evacuated.contains(*name))
            .min_by_key(|(name, position)| (self.leaving.contains(*name), Reverse(**position)))
            .map(|(name, _)| Arc::clone(name))
    }
}
