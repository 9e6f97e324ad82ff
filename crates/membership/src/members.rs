//! One instance's view of the fleet's members.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use store::Machine;
use store::Row;

use crate::Heartbeat;
use crate::Lease;
use crate::Member;
use crate::PROTOCOL_VERSION;
use crate::Phase;
use crate::Verdict;

/// A watched member without a heartbeat for this long is suspected to have failed.
pub const HEARTBEAT_TIMEOUT: Span = Span::from_millis(1_500);
/// The number of ended lives that are remembered.
const ENDED_LIVES_MAX: usize = 4_096;

/// The identity of this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The fleet's name.
    pub fleet: Arc<str>,
    /// The instance's name.
    pub name: Arc<str>,
    /// The random number of this process start.
    pub life: u64,
    /// The instance's availability zone.
    pub zone: Arc<str>,
}

/// The other members of the fleet, from lease rows, heartbeats and the platform's roster.
///
/// A member is live while its lease is valid or its heartbeats arrive.
#[derive(Debug)]
pub struct Members {
    pub(crate) identity: Identity,
    /// The known members by name, without this instance.
    pub(crate) members: BTreeMap<Arc<str>, Member>,
    /// Lives that a later one replaced or that left, oldest first; their messages are rejected.
    ended_lives: VecDeque<(Arc<str>, u64)>,
    /// The machines on the platform's roster; it lags, so no member is added or removed by it.
    roster: BTreeMap<Arc<str>, Machine>,
    /// The row version of each expired member and when it expired.
    ///
    /// Reading the same version again does not bring the member back.
    pub(crate) lapsed: BTreeMap<Arc<str>, (u64, Time)>,
    /// The start of the latest successful read of the table.
    last_table_read: Option<Time>,
}

impl Members {
    /// Opens an empty view.
    pub fn open(identity: Identity) -> Self {
        Self {
            identity,
            members: BTreeMap::new(),
            ended_lives: VecDeque::new(),
            roster: BTreeMap::new(),
            lapsed: BTreeMap::new(),
            last_table_read: None,
        }
    }

    /// Returns the identity of this instance.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Applies all rows under [`crate::INSTANCE_PREFIX`], from a read that began at `started`.
    ///
    /// Results of reads that began before the last one applied are ignored.
    pub fn on_rows(&mut self, started: Time, rows: &[Row]) {
        if self.last_table_read.is_some_and(|heard| started < heard) {
            return;
        }
        self.last_table_read = Some(started);
        let mut listed = BTreeSet::new();
        for row in rows {
            let Some(lease) = Lease::read(row) else {
                continue;
            };
            if lease.name == self.identity.name {
                continue;
            }
            listed.insert(Arc::clone(&lease.name));
            self.on_lease(started, &lease, row.version);
        }
        self.on_unlisted(&listed);
    }

    /// Applies a heartbeat that was received, and authenticated, at `now`.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) -> Verdict {
        if heartbeat.fleet != self.identity.fleet {
            return Verdict::OtherFleet;
        }
        if heartbeat.version != PROTOCOL_VERSION {
            return Verdict::OtherVersion;
        }
        if heartbeat.name == self.identity.name {
            return Verdict::Own;
        }
        if self.is_ended(&heartbeat.name, heartbeat.life) {
            return Verdict::EarlierLife;
        }
        let Some(member) = self.members.get_mut(&heartbeat.name) else {
            let member = Member::from_heartbeat(now, heartbeat);
            self.members.insert(Arc::clone(&heartbeat.name), member);
            return Verdict::Accepted;
        };
        if member.life != heartbeat.life {
            return self.on_other_life(now, heartbeat);
        }
        if member
            .sequence
            .is_some_and(|last| heartbeat.sequence <= last)
        {
            return Verdict::Replayed;
        }
        member.on_heartbeat(now, heartbeat);
        Verdict::Accepted
    }

    /// Replaces the list of machines on the platform's roster.
    pub fn on_roster(&mut self, machines: &[Machine]) {
        self.roster = machines
            .iter()
            .filter(|machine| &*machine.role == "instance")
            .map(|machine| (Arc::clone(&machine.name), machine.clone()))
            .collect();
    }

    /// Removes members whose lease expired, and whose last heartbeat arrived, at least `keep` ago.
    ///
    /// A member on the roster is kept, since it may be running behind a network partition.
    /// Returns the names of the removed members.
    pub fn expire(&mut self, now: Time, keep: Span) -> Vec<Arc<str>> {
        let is_gone = |member: &Member| {
            let latest = member
                .lease_until
                .max(member.last_heartbeat.unwrap_or(Time::ZERO));
            now >= latest + keep && !self.roster.contains_key(&member.name)
        };
        let gone: Vec<Arc<str>> = self
            .members
            .values()
            .filter(|member| is_gone(member))
            .map(|member| Arc::clone(&member.name))
            .collect();
        for name in &gone {
            let member = self.members.remove(name);
            if let Some(version) = member.and_then(|member| member.row_version) {
                self.lapsed.insert(Arc::clone(name), (version, now));
            }
        }
        gone
    }

    /// Returns a member by name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns the known members, without this instance.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members whose lease is valid or whose last heartbeat is recent.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> {
        let silent_since = now - HEARTBEAT_TIMEOUT;
        self.members
            .values()
            .filter(move |member| member.is_leased(now) || member.has_heartbeat_since(silent_since))
    }

    /// Returns the live members that accept new work.
    ///
    /// Members that the roster marks as leaving are excluded.
    pub fn active(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.live(now)
            .filter(|member| member.phase == Phase::Live && !self.is_marked_leaving(&member.name))
    }

    /// Returns the addresses from which a starting instance may load settings, own zone first.
    pub fn seeds(&self, now: Time) -> Vec<Arc<str>> {
        let zone = &self.identity.zone;
        let members = self.live(now).map(|member| (&member.zone, &member.address));
        let listed = self
            .roster
            .values()
            .filter(|machine| machine.name != self.identity.name)
            .map(|machine| (&machine.zone, &machine.address));
        // The own zone sorts first, since `false` sorts before `true`.
        let mut nearest: BTreeMap<&Arc<str>, bool> = BTreeMap::new();
        for (of_zone, address) in members.chain(listed) {
            let is_remote = nearest.entry(address).or_insert(true);
            *is_remote &= of_zone != zone;
        }
        let ordered: BTreeSet<(bool, &Arc<str>)> = nearest
            .into_iter()
            .map(|(address, is_remote)| (is_remote, address))
            .collect();
        ordered
            .into_iter()
            .map(|(_, address)| Arc::clone(address))
            .collect()
    }

    /// Returns the members among `watched` without a recent heartbeat.
    pub fn suspected(&self, now: Time, watched: &BTreeSet<Arc<str>>) -> Vec<Arc<str>> {
        let silent_since = now - HEARTBEAT_TIMEOUT;
        watched
            .iter()
            .filter_map(|name| self.members.get(name))
            .filter(|member| !member.has_heartbeat_since(silent_since))
            .map(|member| Arc::clone(&member.name))
            .collect()
    }

    /// Returns true if the roster marks an instance as leaving.
    pub fn is_marked_leaving(&self, name: &str) -> bool {
        self.roster
            .get(name)
            .is_some_and(|machine| machine.status == store::Status::Leaving)
    }

    /// Returns the start of the latest successful read of the table.
    pub fn last_table_read(&self) -> Option<Time> {
        self.last_table_read
    }

    /// Applies a heartbeat whose life is not the known one.
    ///
    /// While the known life may still run, only the lease row can tell which of the two is later.
    fn on_other_life(&mut self, now: Time, heartbeat: &Heartbeat) -> Verdict {
        let known = &self.members[&heartbeat.name];
        if known.is_leased(now) || known.has_heartbeat_since(now - HEARTBEAT_TIMEOUT) {
            return Verdict::UnconfirmedLife;
        }
        let ended = (Arc::clone(&known.name), known.life);
        self.record_ended(ended);
        let member = Member::from_heartbeat(now, heartbeat);
        self.members.insert(Arc::clone(&heartbeat.name), member);
        Verdict::Accepted
    }

    fn on_lease(&mut self, started: Time, lease: &Lease, version: u64) {
        if self.is_ended(&lease.name, lease.life) || self.is_lapsed(&lease.name, version) {
            return;
        }
        self.lapsed.remove(&lease.name);
        let Some(member) = self.members.get_mut(&lease.name) else {
            let member = Member::from_lease(started, lease, version);
            self.members.insert(Arc::clone(&lease.name), member);
            return;
        };
        if member.row_version == Some(version) {
            return;
        }
        if member.life == lease.life {
            member.on_renewal(started, lease, version);
            return;
        }
        let ended = (Arc::clone(&member.name), member.life);
        *member = Member::from_lease(started, lease, version);
        self.record_ended(ended);
    }

    /// Ends the leases of members whose row has been deleted.
    ///
    /// An instance that leaves deletes its row, which ends its life. Any other deletion only ends
    /// the lease: the instance writes the row again if it is still running.
    fn on_unlisted(&mut self, listed: &BTreeSet<Arc<str>>) {
        self.lapsed.retain(|name, _| listed.contains(name));
        let mut released = Vec::new();
        for member in self.members.values_mut() {
            if member.row_version.is_none() || listed.contains(&member.name) {
                continue;
            }
            member.row_version = None;
            member.lease_until = Time::ZERO;
            if member.phase == Phase::Leaving {
                released.push((Arc::clone(&member.name), member.life));
            }
        }
        for ended in released {
            self.members.remove(&ended.0);
            self.record_ended(ended);
        }
    }

    fn record_ended(&mut self, ended: (Arc<str>, u64)) {
        if self.ended_lives.len() == ENDED_LIVES_MAX {
            self.ended_lives.pop_front();
        }
        self.ended_lives.push_back(ended);
    }

    fn is_lapsed(&self, name: &str, version: u64) -> bool {
        self.lapsed
            .get(name)
            .is_some_and(|(lapsed, _)| *lapsed == version)
    }

    fn is_ended(&self, name: &str, life: u64) -> bool {
        self.ended_lives
            .iter()
            .any(|(ended_name, ended_life)| **ended_name == *name && *ended_life == life)
    }
}
