//! The lease under which an instance relies on a group's leader.

use std::net::SocketAddr;

use account::rate::Registration;
use clock::Span;
use clock::Time;
use endpoint::Position;

use crate::group::Acknowledgement;

/// How long an instance acknowledges commits after the start of the table call that last showed no
/// replacement of the leader. A call begins every 700 ms; beyond that the replicas are asked. Longer
/// leases delay the replacement of a primary that is cut off together with other instances.
pub const COMMIT_LEASE: Span = Span::from_millis(1_200);
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
    /// The token of the latest replacement that may have changed the leader.
    pub reign: u64,
    /// A position that the log of the server promoted by that replacement had reached before;
    /// `None` if it is not known.
    pub end: Option<Position>,
}

/// The lease under which an instance relies on a group's leader.
///
/// A replacement first changes the group's row in the table and then waits until every other
/// instance has given its lease up or it has expired; only then it surveys the replicas' logs. So
/// a commit that is acknowledged under the lease is in the survey of every replacement. Where a
/// replaced primary goes on as such, its answers prove its leadership only under the lease, too.
#[derive(Clone, Debug, Default)]
pub struct LeaderLease {
    /// The start of the table call that last showed `appointment`.
    confirmed: Option<Time>,
    /// The time in which replacements are sure to ask this instance for its lease.
    registration: Registration,
    /// The latest appointment in the table; `None` if the leader was never replaced.
    appointment: Option<Appointment>,
    /// The latest appointment that its holder has announced as settled; the table may show the
    /// replacement as under way for longer.
    announced: Option<Appointment>,
    /// The token of the latest replacement for which this instance gave the lease up.
    ///
    /// Invariant: the lease is not held before an appointment with this token is settled.
    revoked: u64,
    /// The only server whose proofs this instance believes while it replaces the leader itself, and
    /// `revoked` when it was chosen.
    candidate: Option<(SocketAddr, u64)>,
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

    /// Applies a settled appointment that the holder of the replacement has announced.
    pub fn on_announced(&mut self, appointment: Appointment) {
        let known = self.announced.map_or(0, |known| known.token);
        if appointment.is_settled && appointment.token >= known {
            self.announced = Some(appointment);
        }
    }

    /// Returns the settled appointment that the holder of the replacement with `token` has announced.
    pub fn announced(&self, token: u64) -> Option<Appointment> {
        self.announced.filter(|announced| announced.token == token)
    }

    /// Returns the latest appointment in the table, settled if its holder has announced that.
    fn appointment(&self) -> Option<Appointment> {
        let appointment = self.appointment?;
        match appointment.is_settled {
            true => Some(appointment),
            false => self.announced(appointment.token).or(Some(appointment)),
        }
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
        self.candidate = candidate.map(|candidate| (candidate, self.revoked));
    }

    /// Returns the token of the latest replacement, 0 if there was none; `None` while one may be under
    /// way as far as this instance knows.
    pub fn token(&self) -> Option<u64> {
        let token = self
            .appointment()
            .map_or(0, |appointment| appointment.token);
        (!self.is_replacement_open()).then_some(token)
    }

    /// Returns whether a replacement may be under way as far as this instance knows.
    pub fn is_replacement_open(&self) -> bool {
        !self.has_read() || !self.is_settled()
    }

    /// Returns whether a commit at `position` of the server at `address` may be acknowledged at `now`;
    /// `sent` was the `token` when it was sent.
    pub fn acknowledgement(
        &self,
        now: Time,
        sent: Option<u64>,
        address: Option<SocketAddr>,
        position: Position,
    ) -> Acknowledgement {
        if self.is_replacement_open() {
            return Acknowledgement::Undecided;
        }
        if !self.is_held_within(now, COMMIT_LEASE) {
            return Acknowledgement::Unproven;
        }
        let Some(appointment) = self.appointment() else {
            return Acknowledgement::Safe;
        };
        let is_leader = appointment.leader.is_none() || appointment.leader == address;
        let is_in_reign = is_leader && sent.is_some_and(|sent| sent >= appointment.reign);
        let is_in_log = appointment
            .end
            .is_some_and(|end| end.term == position.term && position <= end);
        match is_in_reign || is_in_log {
            true => Acknowledgement::Safe,
            false => Acknowledgement::Doubtful,
        }
    }

    /// Returns whether the appointed leader stays until the next replacement.
    fn is_settled(&self) -> bool {
        let token = self
            .appointment()
            .map_or(0, |appointment| appointment.token);
        let is_settled = self
            .appointment()
            .is_none_or(|appointment| appointment.is_settled);
        is_settled && token >= self.revoked
    }

    /// Returns whether proofs of the server at `address` may be believed.
    pub fn admits(&self, address: SocketAddr) -> bool {
        if let Some((candidate, _)) = self.candidate {
            return candidate == address;
        }
        let leader = self
            .appointment()
            .and_then(|appointment| appointment.leader);
        self.is_settled() && leader.is_none_or(|leader| leader == address)
    }

    /// Returns the token of the replacement that appointed the server whose proofs may be believed, 0
    /// if there was none.
    pub fn reign(&self) -> u64 {
        if let Some((_, token)) = self.candidate {
            return token;
        }
        self.appointment()
            .map_or(0, |appointment| appointment.reign)
    }

    /// Returns whether the lease is held at `now`.
    pub fn is_held(&self, now: Time) -> bool {
        self.is_held_within(now, LEADER_LEASE)
    }

    /// Returns whether a table call that began less than `lease` ago showed no replacement.
    fn is_held_within(&self, now: Time, lease: Span) -> bool {
        // A replacement that began before the registration did not ask this instance.
        let is_confirmed = self.confirmed.is_some_and(|confirmed| {
            now < confirmed + lease && confirmed >= self.registration.since
        });
        is_confirmed && now < self.registration.until && self.is_settled()
    }

    /// Returns whether the table has not been read for so long that the lease has expired.
    pub fn is_expired(&self, now: Time) -> bool {
        let until = self.confirmed.map(|confirmed| confirmed + LEADER_LEASE);
        until.is_some_and(|until| now >= until) || now >= self.registration.until
    }
}
