//! Decides which instance of the zone runs a statement.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::Time;
use membership::rendezvous_order;

use crate::forward::Peer;

/// The account and the group of a statement.
type Key = (Arc<str>, Arc<str>);

/// Decides which instance of the zone runs a statement, from what this instance knows.
///
/// The instances of a zone need not agree: each of them can serve every statement.
#[derive(Debug)]
pub struct Router {
    /// This instance.
    name: Arc<str>,
    /// The other live instances of the zone that accept statements, by name.
    peers: BTreeMap<Arc<str>, Peer>,
    /// The groups to whose servers an instance can't keep a connection for each account.
    forwarded: BTreeSet<Arc<str>>,
    /// All instances of the zone in the order of their responsibility, ranked when first needed
    /// after a change of the members.
    orders: BTreeMap<Key, Arc<[Arc<str>]>>,
}

impl Router {
    /// Opens a router that knows no peers, so that everything runs here.
    pub fn open(name: &Arc<str>) -> Self {
        Self {
            name: Arc::clone(name),
            peers: BTreeMap::new(),
            forwarded: BTreeSet::new(),
            orders: BTreeMap::new(),
        }
    }

    /// Updates the other live instances of the zone; returns whether any changed.
    ///
    /// A peer at another address is another process, to which there is no connection.
    pub fn on_members(&mut self, live: &BTreeMap<Arc<str>, SocketAddr>) -> bool {
        let known = self.peers.iter().map(|(name, peer)| (name, &peer.address));
        if known.eq(live) {
            return false;
        }
        self.peers
            .retain(|name, peer| live.get(name) == Some(&peer.address));
        for (name, address) in live {
            self.peers
                .entry(Arc::clone(name))
                .or_insert_with(|| Peer::open(*address));
        }
        self.orders.clear();
        true
    }

    /// Updates whether statements of a group are forwarded.
    pub fn on_share(&mut self, group: &Arc<str>, is_forwarded: bool) {
        if is_forwarded {
            self.forwarded.insert(Arc::clone(group));
        } else {
            self.forwarded.remove(group);
        }
    }

    /// Returns whether statements of any group are forwarded.
    pub fn is_active(&self) -> bool {
        !self.forwarded.is_empty()
    }

    /// Returns the peer that runs the statements of an account at a group; `None` if this instance
    /// runs them.
    pub fn responsible(
        &mut self,
        now: Time,
        account: &Arc<str>,
        group: &Arc<str>,
    ) -> Option<Arc<str>> {
        if !self.forwarded.contains(group) || self.peers.is_empty() {
            return None;
        }
        let order = self.order(account, group);
        let first = order.iter().find(|name| {
            **name == self.name
                || self
                    .peers
                    .get(*name)
                    .is_some_and(|peer| peer.is_available(now))
        });
        first.filter(|name| **name != self.name).cloned()
    }

    /// Returns a peer.
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns the addresses of the peers, by name.
    pub fn addresses(&self) -> BTreeMap<Arc<str>, SocketAddr> {
        let peers = self.peers.iter();
        peers
            .map(|(name, peer)| (Arc::clone(name), peer.address))
            .collect()
    }

    /// Changes what is known of the peer with this name and address, if it is still one.
    pub fn change(&mut self, name: &str, address: SocketAddr, change: impl FnOnce(&mut Peer)) {
        if let Some(peer) = self.peers.get_mut(name)
            && peer.address == address
        {
            change(peer);
        }
    }

    fn order(&mut self, account: &Arc<str>, group: &Arc<str>) -> Arc<[Arc<str>]> {
        let key = (Arc::clone(account), Arc::clone(group));
        let names = self.peers.keys().chain([&self.name]);
        let order = self.orders.entry(key).or_insert_with(|| {
            // The length keeps the names apart.
            let key = format!("{}:{account}{group}", account.len());
            Arc::from(rendezvous_order(&key, names))
        });
        Arc::clone(order)
    }
}
