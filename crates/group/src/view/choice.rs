//! The selection of the server to promote.

use std::sync::Arc;

use clock::Time;
use endpoint::Position;
use endpoint::Role;
use endpoint::Status;

use super::View;
use crate::Proof;
use crate::Row;

/// The result of selecting the server to promote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    /// This server is to be promoted; it has received everything up to the position.
    Found(Arc<str>, Position),
    /// A server is already at the ordered term or a later one, so a higher term is needed.
    Overtaken,
    /// No server can be selected yet, for this reason.
    Wait(&'static str),
}

impl View {
    /// Selects among the servers whose status query started at or after `from`.
    ///
    /// A majority of the servers holds each acknowledged position. The highest position among
    /// enough servers to intersect every majority therefore covers all acknowledged writes.
    pub(super) fn choose(&self, row: &Row, from: Time, wait_for_primary: bool) -> Choice {
        let reported: Vec<(&Arc<str>, Status)> = self
            .servers
            .iter()
            .filter(|(_, server)| server.started >= from)
            .filter_map(|(name, server)| Some((name, server.status?)))
            .collect();
        if reported.len() < self.majority() {
            return Choice::Wait("no-majority-of-servers");
        }
        let overlap = self.servers.len() - self.majority() + 1;
        let followers: Vec<_> = reported
            .iter()
            .filter(|(name, _)| **name != row.primary)
            .copied()
            .collect();
        let enough = followers.len() >= overlap;
        let electors = if enough && !wait_for_primary {
            followers
        } else {
            reported
        };
        let highest = electors
            .iter()
            .map(|(_, status)| status.received)
            .max()
            .unwrap_or_default();
        if highest.term >= row.term {
            return Choice::Overtaken;
        }
        let mut candidates = electors
            .iter()
            .filter(|(_, status)| status.received == highest && status.role == Role::Replica)
            .filter(|(name, _)| !self.evacuated.contains_key(*name))
            .peekable();
        if candidates.peek().is_none() && !self.evacuated.is_empty() {
            return Choice::Wait("no-replica-outside-evacuated-zones-holds-the-highest-position");
        }
        let best =
            candidates.max_by_key(|(name, status)| (!self.leaving.contains(*name), status.applied));
        let Some((name, _)) = best else {
            return Choice::Wait("no-replica-holds-the-highest-position");
        };
        if self.policy.proof != Proof::None {
            assert!(
                highest >= self.proven,
                "candidate {name} at {highest} lacks the acknowledged {}",
                self.proven
            );
        }
        Choice::Found(Arc::clone(name), highest)
    }
}
