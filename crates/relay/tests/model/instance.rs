//! One instance of the product.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use account::rate::Registration;
use clock::Span;
use clock::Time;
use endpoint::Position;
use relay::failover::Detector;
use relay::failover::Lease;
use relay::failover::Leases;
use relay::failover::Observation;
use relay::failover::Reason;
use relay::failover::Recheck;
use relay::failover::Run;
use relay::group::LeaderLease;
use relay::group::Leadership;
use relay::group::Proof;
use relay::peers::View;
use store::Row;

use crate::cluster;
use crate::cluster::SERVERS;
use crate::replacement::Replacement;
use crate::rules::Rules;
use crate::table::Content;
use crate::table::row;

/// How long a registration lasts.
const REGISTRATION: Span = Span::from_secs(12);
/// Age of a proof up to which a view names the leader.
const PROOF_AGE_MAX: Span = Span::from_millis(500);

/// Returns the group's name.
pub fn group() -> Arc<str> {
    Arc::from("g")
}

/// Returns an instance's name.
pub fn name(instance: usize) -> Arc<str> {
    Arc::from(["i1", "i2"][instance])
}

/// Returns the address on which an instance listens.
pub fn address(instance: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], instance as u16 + 1))
}

/// One instance of the product.
#[derive(Clone, Debug)]
pub struct Instance {
    pub incarnation: u64,
    pub is_up: bool,
    pub is_frozen: bool,
    /// Whether it follows the group's row and keeps the leader lease.
    pub follows_rows: bool,
    /// Whether a replaced primary refuses statements by itself.
    is_fenced: bool,
    /// Which servers it reaches.
    pub reaches: [bool; SERVERS],
    pub reaches_table: bool,
    /// Which servers it knows.
    pub knows: [bool; SERVERS],
    /// The server in place of which it knows the one that joined.
    pub moved: Option<usize>,
    pub leadership: Leadership,
    pub lease: LeaderLease,
    /// The newest lease that it has read or written.
    pub newest: Option<Lease>,
    /// The version of the row read last and when it was first seen.
    pub seen: Option<(u64, Time)>,
    /// A row that was read and arrives later, with the start of the call.
    pub unread: Option<(Time, Content)>,
    registered_since: Option<Time>,
    has_recheck: bool,
    pub recheck: Recheck,
    detector: Detector,
    /// When the primary last answered.
    replied_at: Time,
    pub replacement: Option<Replacement>,
}

impl Instance {
    /// Starts an instance at `now`.
    pub fn open(now: Time, incarnation: u64, knows: [bool; SERVERS], rules: &Rules) -> Self {
        let mut recheck = Recheck::default();
        recheck.on_replacement(now);
        Self {
            incarnation,
            is_up: true,
            is_frozen: false,
            follows_rows: rules.follows_rows(),
            is_fenced: !rules.is_unchecked(),
            reaches: [true; SERVERS],
            reaches_table: true,
            knows,
            moved: None,
            leadership: Leadership::default(),
            lease: LeaderLease::default(),
            newest: None,
            seen: None,
            unread: None,
            registered_since: None,
            has_recheck: rules.has_recheck,
            recheck,
            detector: Detector::default(),
            replied_at: now,
            replacement: None,
        }
    }

    /// Returns whether it does anything.
    pub fn is_active(&self) -> bool {
        self.is_up && !self.is_frozen
    }

    /// Returns the server that it believes to lead.
    pub fn leader(&self) -> Option<usize> {
        self.leadership.server().map(|name| cluster::index(name))
    }

    /// Returns the highest token that it knows.
    pub fn token(&self) -> u64 {
        self.newest.as_ref().map_or(0, |lease| lease.token)
    }

    /// Returns the product's record of leases with what it knows.
    fn leases(&self) -> Leases {
        let leases = Leases::default();
        if let Some(newest) = &self.newest {
            leases.on_lease(&group(), newest);
        }
        if let (Some((version, at)), Some(newest)) = (self.seen, &self.newest) {
            leases.on_row(at, &group(), &row(newest, version));
        }
        leases
    }

    /// Records a lease that was read or written.
    pub fn on_lease(&mut self, lease: &Lease) {
        let leases = self.leases();
        leases.on_lease(&group(), lease);
        self.newest = leases.newest("g");
    }

    /// Returns whether it may acquire the lease in a row.
    pub fn may_acquire(&mut self, now: Time, instance: usize, row: Option<&Row>) -> bool {
        let leases = self.leases();
        let name = name(instance);
        let run = Run {
            name: &name,
            address: address(instance),
            incarnation: self.incarnation,
        };
        let may = leases.may_acquire(now, &group(), row, &run);
        if let Some(row) = row {
            self.seen = Some((row.version, leases.on_row(now, &group(), row)));
        }
        may
    }

    /// Applies the table's content, read by a call begun at `begun`.
    ///
    /// Returns whether the row must be written again, as it is older than what is known.
    pub fn on_content(
        &mut self,
        now: Time,
        begun: Time,
        registered: bool,
        content: &Content,
    ) -> bool {
        let lease = content.lease.as_ref();
        if lease.is_some()
            && self
                .seen
                .is_none_or(|(version, _)| version != content.version)
        {
            self.seen = Some((content.version, now));
        }
        if lease.map_or(0, |lease| lease.token) < self.token() {
            return true;
        }
        if let Some(lease) = lease {
            self.on_lease(lease);
        }
        if registered {
            self.register(begun);
        }
        let appointment = lease.map(Lease::appointment);
        if self.lease.on_read(begun, appointment) {
            if appointment.is_some_and(|appointment| !appointment.is_settled) {
                self.recheck.on_replacement(now);
            }
            self.forget_replaced();
        }
        false
    }

    fn register(&mut self, begun: Time) {
        let since = match self.registered_since {
            Some(since) => since,
            None => *self.registered_since.insert(begun),
        };
        self.lease.set_registration(Registration {
            since,
            until: begun + REGISTRATION,
        });
    }

    /// Gives up the leader lease for a replacement.
    pub fn revoke(&mut self, token: u64) {
        self.lease.revoke(token);
        self.forget_replaced();
    }

    /// Forgets a leader that the lease no longer admits.
    pub fn forget_replaced(&mut self) {
        if let Some(leader) = self.leader().filter(|leader| !self.admits(*leader)) {
            self.leadership.on_not_leader(&cluster::name(leader));
        }
    }

    /// Returns a server's address.
    pub fn address_of(&self, server: usize) -> SocketAddr {
        let moved = self.moved.filter(|_| server + 1 == SERVERS);
        cluster::address(moved.unwrap_or(server))
    }

    /// Learns of the server that joined, in place of `moved` at whose address it runs.
    pub fn on_joined(&mut self, moved: Option<usize>) {
        self.knows[SERVERS - 1] = true;
        self.moved = moved;
        if let Some(moved) = moved {
            self.knows[moved] = false;
            self.leadership.on_not_leader(&cluster::name(moved));
        }
    }

    /// Returns whether a server that acts as primary can be the current one.
    fn admits(&self, server: usize) -> bool {
        self.is_fenced || self.lease.admits(self.address_of(server))
    }

    /// Applies a server's proof that it leads.
    pub fn on_proof(&mut self, now: Time, sent: Time, server: usize, position: Position) {
        if Some(server) == self.leader() {
            self.replied_at = now;
        }
        if !self.admits(server) {
            return;
        }
        let name = cluster::name(server);
        let proof = Proof {
            sent,
            received: now,
            position,
            reign: (!self.is_fenced).then(|| self.lease.reign()),
        };
        if self.is_fenced || self.lease.is_held(now) {
            self.leadership.on_proof(&name, proof);
        } else {
            self.leadership.on_claim(&name, proof);
        }
    }

    /// Returns its view of the group.
    pub fn view(&mut self, now: Time) -> View {
        self.recheck.on_replacement(now);
        let is_recent = self.leadership.proven_at() + PROOF_AGE_MAX >= now;
        View {
            is_prober: true,
            leader: self.leadership.server().filter(|_| is_recent).cloned(),
            term: self.leadership.term(),
            token: self.token(),
            acknowledged: self.leadership.acknowledged(),
            commit_age_ms: now.since(self.leadership.committed_at()).as_millis(),
        }
    }

    /// Returns why the primary must be replaced, if it must.
    pub fn reason(&mut self, now: Time, is_leaving: bool, is_stuck: bool) -> Option<Reason> {
        let observation = Observation {
            is_known: self.leader().is_some(),
            is_abandoned: false,
            is_leaving,
            is_evacuated: false,
            proven_at: self.leadership.proven_at(),
            replied_at: self.replied_at,
            is_stuck,
        };
        let reason = self.detector.step(now, &observation);
        // The check is due until it is begun.
        let mut recheck = self.recheck;
        let is_due = self.has_recheck && recheck.step(now);
        reason.or_else(|| (is_due && self.leader().is_some()).then_some(Reason::Unfinished))
    }

    /// Delays the next attempt.
    pub fn on_attempt_ended(&mut self, now: Time) {
        self.detector.on_attempt_ended(now);
    }

    /// Returns the lease as settled if its holder has announced that and could not write it.
    pub fn settled(&self, lease: Lease) -> Lease {
        let announced = self.lease.announced(lease.token);
        lease.settled(announced)
    }

    /// Returns the servers that may hold acknowledged commits.
    pub fn commit_holders(&self) -> BTreeSet<Arc<str>> {
        (0..SERVERS)
            .filter(|server| self.knows[*server])
            .map(cluster::name)
            .collect()
    }
}
