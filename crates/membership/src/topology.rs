//! Which members this instance watches, polls and pushes to.
//!
//! Rendezvous hashing gives every instance with the same member view the same result.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Span;
use clock::Time;

use crate::INSTANCE_PREFIX;
use crate::Members;
use crate::Transaction;
use crate::instance_key;
use crate::members::HEARTBEAT_TIMEOUT;
use crate::rendezvous::rendezvous_order;

/// The maximum number of instances of its own zone that an instance pushes to.
pub const FAN_OUT: usize = 8;
/// The number of instances of each zone that poll a given key of the table.
pub const POLLERS_PER_ZONE: usize = 2;
/// The interval between two polls of the upstream for the latest settings revision.
pub const HEAD_POLL_INTERVAL: Span = Span::from_millis(250);
/// The row of an expired member is deleted after this time.
const LAPSED_ROW_RETENTION: Span = Span::from_secs(60);
/// The number of instances of each other zone that the origin of a push sends it to.
const ROOTS_PER_ZONE: usize = 2;
/// The number of members of its own zone that an instance watches.
const WATCHED_IN_OWN_ZONE: usize = 8;
/// The number of members of each other zone that an instance watches.
const WATCHED_PER_OTHER_ZONE: usize = 2;
/// The key that selects the pollers of the latest settings revision.
const HEAD_KEY: &str = "settings/head";

/// The source from which an instance reads a part of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// The table itself.
    Table,
    /// A peer that is fewer hops away from the table.
    Peer(Arc<str>),
}

impl Members {
    /// Returns the members to which this instance forwards a settings revision from `origin`.
    ///
    /// The origin sends to two members of each other zone. Within a zone the members form a tree,
    /// ordered by their hash with the revision, in which each sends to [`FAN_OUT`] others.
    pub fn push_targets(&self, now: Time, revision: u64, origin: &str) -> BTreeSet<Arc<str>> {
        let key = format!("push/{revision}");
        let mut targets = BTreeSet::new();
        if *self.identity.name == *origin {
            for (zone, names) in self.active_by_zone(now) {
                if zone != self.identity.zone {
                    let order = rendezvous_order(&key, names.iter());
                    targets.extend(order.into_iter().take(ROOTS_PER_ZONE));
                }
            }
        }
        let order = self.push_order(now, &key, origin);
        targets.extend(children(&order, &self.identity.name));
        targets.remove(&self.identity.name);
        targets
    }

    /// Returns the members to which this instance sends heartbeats; each replies with its own.
    pub fn watched(&self, now: Time) -> BTreeSet<Arc<str>> {
        let mut watched = BTreeSet::new();
        for (zone, names) in self.active_by_zone(now) {
            let count = if zone == self.identity.zone {
                WATCHED_IN_OWN_ZONE
            } else {
                WATCHED_PER_OTHER_ZONE
            };
            watched.extend(self.ring_neighbours(&names, count));
        }
        watched
    }

    /// Returns the members of a zone that poll a key; this instance may be one of them.
    pub fn pollers(&self, now: Time, zone: &str, key: &str) -> Vec<Arc<str>> {
        let zones = self.active_by_zone(now);
        let names = zones
            .get(zone)
            .map(|names| rendezvous_order(key, names.iter()));
        let mut names = names.unwrap_or_default();
        names.truncate(POLLERS_PER_ZONE);
        names
    }

    /// Returns true if this instance polls a key, such as `group/orders`, for its zone.
    pub fn is_poller(&self, now: Time, key: &str) -> bool {
        self.pollers(now, &self.identity.zone, key)
            .contains(&self.identity.name)
    }

    /// Returns the source from which this instance reads the latest settings revision.
    pub fn head_upstream(&self, now: Time, failed: &BTreeSet<Arc<str>>) -> Upstream {
        self.upstream(now, HEAD_KEY, failed)
    }

    /// Returns the source from which this instance reads the members' lease rows.
    ///
    /// A peer returns its rows with the age of its own read, so they count as read at the start
    /// of the request less that age.
    pub fn members_upstream(&self, now: Time, failed: &BTreeSet<Arc<str>>) -> Upstream {
        self.upstream(now, INSTANCE_PREFIX, failed)
    }

    /// Returns the source from which this instance reads a key of the table.
    ///
    /// Two members of each zone read the table; the others ask their parent in a tree. Members in
    /// `failed` did not respond recently and are excluded.
    fn upstream(&self, now: Time, key: &str, failed: &BTreeSet<Arc<str>>) -> Upstream {
        let zones = self.active_by_zone(now);
        let of_zone = zones[&self.identity.zone].iter();
        let asked = of_zone.filter(|name| **name == self.identity.name || !failed.contains(*name));
        let order = rendezvous_order(key, asked);
        let place = order.iter().position(|name| *name == self.identity.name);
        let place = place.expect("the own zone contains this instance");
        if place < POLLERS_PER_ZONE {
            return Upstream::Table;
        }
        let parent = (place - POLLERS_PER_ZONE) / FAN_OUT;
        Upstream::Peer(Arc::clone(&order[parent]))
    }

    /// Returns transactions that delete the rows of members that expired long ago.
    ///
    /// Only the pollers of the lease rows in each zone delete any. An instance that is still
    /// running finds its row deleted at the next renewal and writes it again.
    pub fn lapsed_row_deletions(&self, now: Time) -> Vec<Transaction> {
        if !self.is_poller(now, INSTANCE_PREFIX) {
            return Vec::new();
        }
        self.lapsed
            .iter()
            .filter(|(_, (_, since))| now >= *since + LAPSED_ROW_RETENTION)
            .map(|(name, (version, _))| Transaction::delete(instance_key(name), *version))
            .collect()
    }

    /// Returns the other zones with known members of which none sent a recent heartbeat.
    ///
    /// Leases are not considered, since a zone that is unreachable from here may still renew them.
    pub fn silent_zones(&self, now: Time) -> BTreeSet<Arc<str>> {
        let silent_since = now - HEARTBEAT_TIMEOUT;
        let mut zones: BTreeMap<&Arc<str>, bool> = BTreeMap::new();
        for member in self.members.values() {
            let is_heard = zones.entry(&member.zone).or_insert(false);
            *is_heard |= member.has_heartbeat_since(silent_since);
        }
        zones
            .into_iter()
            .filter(|(zone, is_heard)| **zone != self.identity.zone && !is_heard)
            .map(|(zone, _)| Arc::clone(zone))
            .collect()
    }

    /// Returns true if no read of the table that began within `span` has succeeded.
    pub fn is_table_silent(&self, now: Time, span: Span) -> bool {
        self.last_table_read()
            .is_none_or(|heard| heard < now - span)
    }

    /// Returns the names of the active members by zone, with this instance in its own zone.
    fn active_by_zone(&self, now: Time) -> BTreeMap<Arc<str>, BTreeSet<Arc<str>>> {
        let mut zones: BTreeMap<Arc<str>, BTreeSet<Arc<str>>> = BTreeMap::new();
        let others = self.active(now).map(|member| (&member.zone, &member.name));
        let own = (&self.identity.zone, &self.identity.name);
        for (zone, name) in others.chain(std::iter::once(own)) {
            let names = zones.entry(Arc::clone(zone)).or_default();
            names.insert(Arc::clone(name));
        }
        zones
    }

    /// Returns the push order of this instance's zone, in which the origin comes first.
    fn push_order(&self, now: Time, key: &str, origin: &str) -> Vec<Arc<str>> {
        let zones = self.active_by_zone(now);
        let mut order = rendezvous_order(key, zones[&self.identity.zone].iter());
        if let Some(place) = order.iter().position(|name| **name == *origin) {
            let first = order.remove(place);
            order.insert(0, first);
        }
        order
    }

    /// Returns the names next to this instance in the ring of all names, half of `count` each side.
    fn ring_neighbours(&self, names: &BTreeSet<Arc<str>>, count: usize) -> BTreeSet<Arc<str>> {
        let ring = rendezvous_order(
            "ring",
            names.iter().chain(std::iter::once(&self.identity.name)),
        );
        let mut ring: Vec<Arc<str>> = ring;
        ring.dedup();
        let own = ring.iter().position(|name| *name == self.identity.name);
        let own = own.expect("the ring contains this instance");
        let half = count.div_ceil(2);
        let after = (1..=half).map(|step| (own + step) % ring.len());
        let before = (1..=half).map(|step| (own + ring.len() - step % ring.len()) % ring.len());
        let mut near: BTreeSet<Arc<str>> = after
            .chain(before)
            .map(|place| Arc::clone(&ring[place]))
            .collect();
        near.remove(&self.identity.name);
        near
    }
}

/// Returns the children of a name in a tree of arity [`FAN_OUT`] whose root is the first name.
fn children(order: &[Arc<str>], name: &str) -> Vec<Arc<str>> {
    let Some(place) = order.iter().position(|other| **other == *name) else {
        return Vec::new();
    };
    let first = place * FAN_OUT + 1;
    order
        .iter()
        .skip(first)
        .take(FAN_OUT)
        .map(Arc::clone)
        .collect()
}
