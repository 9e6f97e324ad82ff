//! How watching, polling and pushing are spread over the members.

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

/// Instances that one instance pushes to within its zone, at most.
pub const FAN_OUT: usize = 8;
/// Instances of a zone that poll the same thing.
pub const POLLERS_PER_ZONE: usize = 2;
/// Between two looks at the source of the latest settings revision.
pub const HEAD_POLL_INTERVAL: Span = Span::from_millis(250);
/// The row of a forgotten member is deleted after this long.
const LAPSED_ROW_RETENTION: Span = Span::from_secs(60);
/// Instances of each other zone that the origin of a push sends it to.
const ROOTS_PER_ZONE: usize = 2;
/// Members of the own zone that one instance watches.
const WATCHED_IN_OWN_ZONE: usize = 8;
/// Members of each other zone that one instance watches.
const WATCHED_PER_OTHER_ZONE: usize = 2;
/// The key by which the pollers of the settings' head row are chosen.
const HEAD_KEY: &str = "settings/head";

/// Where an instance learns what the table holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// From the table.
    Table,
    /// From a peer that is nearer to the table.
    Peer(Arc<str>),
}

impl Members {
    /// Returns whom this instance pushes a revision to that arose at `origin`.
    ///
    /// The origin sends to two members of each other zone. Within a zone the members form a
    /// tree by their hash with the revision, in which each sends to [`FAN_OUT`] others.
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

    /// Returns the members that this instance sends heartbeats to; each answers with its own.
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

    /// Returns the members of a zone, this instance included, that poll a key.
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

    /// Returns from where this instance learns the latest settings revision.
    pub fn head_upstream(&self, now: Time, failed: &BTreeSet<Arc<str>>) -> Upstream {
        self.upstream(now, HEAD_KEY, failed)
    }

    /// Returns from where this instance gets the rows of the members.
    ///
    /// A peer that is asked returns its rows with the age of its own read, which counts from
    /// the start of the request less that age.
    pub fn members_upstream(&self, now: Time, failed: &BTreeSet<Arc<str>>) -> Upstream {
        self.upstream(now, INSTANCE_PREFIX, failed)
    }

    /// Returns from where this instance learns what the table holds under a key.
    ///
    /// Two members of each zone read the table, the others ask along a tree. Members in `failed`
    /// did not answer lately and are left out.
    fn upstream(&self, now: Time, key: &str, failed: &BTreeSet<Arc<str>>) -> Upstream {
        let zones = self.active_by_zone(now);
        let of_zone = zones[&self.identity.zone].iter();
        let asked = of_zone.filter(|name| **name == self.identity.name || !failed.contains(*name));
        let order = rendezvous_order(key, asked);
        let place = order.iter().position(|name| *name == self.identity.name);
        let place = place.expect("the own zone's list has this instance");
        if place < POLLERS_PER_ZONE {
            return Upstream::Table;
        }
        let parent = (place - POLLERS_PER_ZONE) / FAN_OUT;
        Upstream::Peer(Arc::clone(&order[parent]))
    }

    /// Returns transactions that delete the rows of members that were forgotten long ago.
    ///
    /// Only the instances of each zone that read all rows delete any. One that runs on after all
    /// finds its row gone at the next renewal and writes it again.
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

    /// Returns the zones from which nothing is heard, of those that have watched members.
    ///
    /// The table proves nothing about a zone: it may still show the zone's leases.
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

    /// Returns true if the table has not answered any read started within `span`.
    pub fn is_table_silent(&self, now: Time, span: Span) -> bool {
        self.last_table_read()
            .is_none_or(|heard| heard < now - span)
    }

    /// Lists the working members of each zone, with this instance in its own.
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

    /// Orders this instance's zone for a push; the origin comes first in its own zone.
    fn push_order(&self, now: Time, key: &str, origin: &str) -> Vec<Arc<str>> {
        let zones = self.active_by_zone(now);
        let mut order = rendezvous_order(key, zones[&self.identity.zone].iter());
        if let Some(place) = order.iter().position(|name| **name == *origin) {
            let first = order.remove(place);
            order.insert(0, first);
        }
        order
    }

    /// Returns the `count` names that are next to this instance in a ring of all names.
    fn ring_neighbours(&self, names: &BTreeSet<Arc<str>>, count: usize) -> BTreeSet<Arc<str>> {
        let ring = rendezvous_order(
            "ring",
            names.iter().chain(std::iter::once(&self.identity.name)),
        );
        let mut ring: Vec<Arc<str>> = ring;
        ring.dedup();
        let own = ring.iter().position(|name| *name == self.identity.name);
        let own = own.expect("the ring has this instance");
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

/// Returns the children of a name in a tree laid over an order, the first name being its root.
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
