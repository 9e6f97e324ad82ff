//! Recognition of a primary that answers but that no other server can follow.

use clock::Span;
use clock::Time;
use endpoint::Position;

use super::View;
use super::times;

/// How long no other server may take up what the primary holds, in leases.
const STALL_LEASES: u64 = 2;

/// The least distance between two promotions for this reason.
const STALL_SPACING: Span = Span::from_secs(3);

/// How far the other servers have fallen behind the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Stall {
    /// Since when no other server took up anything.
    since: Time,
    /// The highest position of the other servers at that time.
    reached: Position,
}

impl View {
    /// Takes note of the positions after a status.
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

    /// Says whether the others answer but have taken up nothing of the primary for too long.
    ///
    /// Writes cannot be acknowledged then, as nothing but the primary holds them.
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
