//! Detection of a primary that responds but does not replicate to any other server.

use clock::Span;
use clock::Time;
use endpoint::Position;

use super::View;
use super::times;

/// How long replication may make no progress, in proof leases.
const STALL_LEASES: u64 = 2;

/// The minimum time from the start of a term to a promotion for a stall, which limits how often
/// such promotions repeat.
const STALL_SPACING: Span = Span::from_secs(3);

/// A period without replication progress while the primary is ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Stall {
    /// Since when no other server has received anything.
    since: Time,
    /// The highest position of the other servers at that time.
    reached: Position,
}

impl View {
    /// Updates the stall from the servers' positions, after a status.
    pub(super) fn track_replication(&mut self, now: Time) {
        let Some((primary, term)) = self.primary(now) else {
            self.stall = None;
            return;
        };
        let Some(server) = self.servers.get(&primary) else {
            self.stall = None;
            return;
        };
        let reached = self
            .servers
            .iter()
            .filter(|(name, _)| **name != primary)
            .map(|(_, other)| other.received())
            .max()
            .unwrap_or_default();
        if !server.is_primary_of(term) || reached >= server.received() {
            self.stall = None;
            return;
        }
        let is_unchanged = self.stall.is_some_and(|stall| stall.reached == reached);
        if !is_unchanged {
            self.stall = Some(Stall {
                since: now,
                reached,
            });
        }
    }

    /// Returns true if a majority of the servers, without the primary, responds but
    /// has received nothing from it for too long.
    ///
    /// Writes cannot be acknowledged then, since only the primary holds them.
    pub(super) fn is_stalled(&self, now: Time, primary: &str) -> bool {
        let Some(stall) = self.stall else {
            return false;
        };
        let since = stall.since.max(self.running_since);
        let others = self
            .servers
            .iter()
            .filter(|(name, server)| ***name != *primary && server.is_answering(now, &self.policy))
            .count();
        let patience = times(self.policy.proof_lease, STALL_LEASES);
        others >= self.majority()
            && now.since(since) > patience
            && now.since(self.term_since) > STALL_SPACING
    }
}
