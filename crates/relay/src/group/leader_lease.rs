//! The lease under which an instance relies on a group's leader.

use std::net::SocketAddr;

use account::rate::Registration;
use clock::Span;
use clock::Time;

/// How long an instance relies on the leader after the start of the table call that last showed
/// no replacement of it. Longer leases outlast longer outages of the table; shorter ones let a primary
/// be replaced sooner that is cut off together with other instances.
pub const LEADER_LEASE: Span = Span::from_millis(2_500);

/// The leader of a group according to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Appointment {
    /// The fencing token of the latest replacement.
    pub token: u64,
    /// The address of the server that leads; `None` if no replacement has named one yet.
    pub leader: Option<SocketAddr>,
    /// Whether the replacement has ended, so that the leader stays until the next one.
    pub is_settled: bool,
}

/// The lease under which an instance relies on a group's leader.
///
/// It is needed where a replaced primary goes on as such: its answers prove nothing then. An
/// instance counts them only while it holds the lease. A replacement first changes the group's row
/// in the table and then waits until every other instance has given its lease up or it has expired.
#[derive(Clone, Debug, Default)]
pub struct LeaderLease {
    /// The start of the table call that last showed `appointment`.
    confirmed: Option<Time>,
    /// The time in which replacements are sure to ask this instance for its lease.
    registration: Registration,
    /// The latest appointment in the table; `None` if the leader was never replaced.
    appointment: Option<Appointment>,
    /// The token of the latest replacement for which this instance gave the lease up.
    ///
    /// Invariant: the lease is not held before an appointment with this token is settled.
    revoked: u64,
    /// The only server whose proofs this instance believes while it replaces the leader itself.
    candidate: Option<SocketAddr>,
}

impl LeaderLease {
    /// Applies the row that a table call begun at `begun` returned; an older one is ignored.
    ///
    /// Returns whether the appointment changed.
    pub fn on_read(&mut self, begun: Time, appointment: Option<Appointment>) -> bool {
        if self.confirmed.is_some_and(|confirmed| begun < confirmed) {
            return false;
        }
        let is_changed = self.appointment != appointment;
        self.confirmed = Some(begun);
        self.appointment = appointment;
        is_changed
    }

    /// Returns whether the table was ever read.
    pub fn has_read(&self) -> bool {
        self.confirmed.is_some()
    }

    /// Records that a table call begun at `begun` showed the same appointment as the last one.
    pub fn on_confirmed(&mut self, begun: Time) {
        if self.confirmed.is_some() {
            self.confirmed = self.confirmed.max(Some(begun));
        }
    }

    /// Sets the time in which replacements are sure to ask this instance for its lease.
    pub fn set_registration(&mut self, registration: Registration) {
        self.registration = registration;
    }

    /// Gives the lease up for the replacement with `token`.
    pub fn revoke(&mut self, token: u64) {
        self.revoked = self.revoked.max(token);
    }

    /// Sets the server whose proofs this instance believes while it replaces the leader itself.
    pub fn set_candidate(&mut self, candidate: Option<SocketAddr>) {
        self.candidate = candidate;
    }

    /// Returns whether the appointed leader stays until the next replacement.
    fn is_settled(&self) -> bool {
        let token = self.appointment.map_or(0, |appointment| appointment.token);
        let is_settled = self
            .appointment
            .is_none_or(|appointment| appointment.is_settled);
        is_settled && token >= self.revoked
    }

    /// Returns whether proofs of the server at `address` may be believed.
    pub fn admits(&self, address: SocketAddr) -> bool {
        if let Some(candidate) = self.candidate {
            return candidate == address;
        }
        let leader = self.appointment.and_then(|appointment| appointment.leader);
        self.is_settled() && leader.is_none_or(|leader| leader == address)
    }

    /// Returns whether the lease is held at `now`.
    pub fn is_held(&self, now: Time) -> bool {
        // A replacement that began before the registration did not ask this instance.
        let is_confirmed = self.confirmed.is_some_and(|confirmed| {
            now < confirmed + LEADER_LEASE && confirmed >= self.registration.since
        });
        is_confirmed && now < self.registration.until && self.is_settled()
    }

    /// Returns whether the table has not been read for so long that the lease has expired.
    pub fn is_expired(&self, now: Time) -> bool {
        let until = self.confirmed.map(|confirmed| confirmed + LEADER_LEASE);
        until.is_some_and(|until| now >= until) || now >= self.registration.until
    }
}
