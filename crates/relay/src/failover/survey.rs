//! Chooses a server that can become primary without losing an acknowledged commit.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use endpoint::Position;

/// Replication state collected from a group whose primary is being replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Survey {
    /// All servers that may hold acknowledged commits, the old primary among them.
    pub holders: BTreeSet<Arc<str>>,
    /// How many replicas must hold a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// The old primary's last position if it was demoted, so that it acknowledges nothing more.
    pub demoted: Option<(Arc<str>, Position)>,
    /// Positions received by paused replicas, which acknowledge nothing more.
    pub paused: BTreeMap<Arc<str>, Position>,
    /// Positions received by replicas that are not paused and may receive more.
    pub receiving: BTreeMap<Arc<str>, Position>,
    /// The highest position of a commit known to have been acknowledged.
    pub acknowledged: Position,
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
    /// Chooses a server that holds every acknowledged commit.
    ///
    /// A commit is acknowledged once the primary and `sync_replicas` others hold it. It is in the
    /// log of a server that has all of a demoted primary's log, or in the longest of the stopped
    /// logs if at most `sync_replicas` of the possible holders are missing from these.
    pub fn choose(&self) -> Choice {
        if let Some(chosen) = self.successor_of_demoted() {
            return Choice::Promote(chosen);
        }
        let mut stopped = self.paused.clone();
        stopped.extend(self.demoted.clone());
        let missing = self
            .holders
            .iter()
            .filter(|name| !stopped.contains_key(*name))
            .count();
        if missing > self.sync_replicas {
            return Choice::Wait {
                why: "too few servers answer",
            };
        }
        let Some(longest) = stopped.values().max().copied() else {
            return Choice::Wait {
                why: "no replica answers",
            };
        };
        if longest < self.acknowledged {
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
            None => "longest stopped log",
        }
    }

    /// Returns the position that a server's log has reached, if it answered.
    pub fn position(&self, server: &str) -> Option<Position> {
        let demoted = self.demoted.as_ref().filter(|(name, _)| **name == *server);
        let position = demoted.map(|(_, position)| position);
        let position = position.or_else(|| self.paused.get(server));
        position.or_else(|| self.receiving.get(server)).copied()
    }

    fn successor_of_demoted(&self) -> Option<Arc<str>> {
        let (old, end) = self.demoted.as_ref()?;
        let mut logs = self.receiving.clone();
        logs.extend(self.paused.clone());
        logs.remove(old);
        self.best_candidate(&logs, *end)
    }

    /// Returns a server whose log reaches `end`, preferring one that is not leaving, outside the
    /// evacuated zones.
    fn best_candidate(
        &self,
        logs: &BTreeMap<Arc<str>, Position>,
        end: Position,
    ) -> Option<Arc<str>> {
        logs.iter()
            .filter(|(name, position)| **position >= end && !self.evacuated.contains(*name))
            .min_by_key(|(name, _)| self.leaving.contains(*name))
            .map(|(name, _)| Arc::clone(name))
    }
}
