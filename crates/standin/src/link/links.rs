//! All links of one process.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::Route;
use super::Zone;
use super::forward;
use super::forward::Path;
use super::route::CLIENT;
use super::route::UNKNOWN;
use crate::Error;
use crate::error::ListenSnafu;

/// Pairs of zones, smaller name first.
pub(super) type Pairs = BTreeSet<(Arc<str>, Arc<str>)>;

/// What the links of one process connect.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The forwarders.
    pub routes: Vec<Route>,
    /// The hosts of each zone.
    pub zones: Vec<Zone>,
    /// The delay each way between two zones.
    pub delay: Duration,
    /// The delay each way between a zone and the zone named `client`.
    pub client_delay: Duration,
    /// The bytes a second that each connection moves each way; no limit if missing.
    pub bytes_per_s: Option<NonZeroU32>,
}

/// Running links; they stop when this is dropped.
pub struct Links {
    /// The addresses that are listened on, in the order of the routes.
    pub addresses: Vec<SocketAddr>,
    /// Bytes moved in both directions, in the order of the routes.
    bytes: Vec<Arc<AtomicU64>>,
    cuts: watch::Sender<Pairs>,
    _tasks: JoinSet<()>,
}

impl Links {
    /// Starts all forwarders.
    pub async fn spawn(options: Options) -> Result<Arc<Self>, Error> {
        let cuts = watch::Sender::new(Pairs::new());
        let hosts = Arc::new(hosts(&options.zones));
        let mut tasks = JoinSet::new();
        let mut addresses = Vec::new();
        let mut bytes = Vec::new();
        for route in &options.routes {
            let peer = route.listen.to_string();
            let listener = TcpListener::bind(route.listen)
                .await
                .context(ListenSnafu { peer: &peer })?;
            addresses.push(listener.local_addr().context(ListenSnafu { peer })?);
            let moved = Arc::new(AtomicU64::new(0));
            bytes.push(Arc::clone(&moved));
            let link = Link {
                route: route.clone(),
                hosts: Arc::clone(&hosts),
                delay: options.delay,
                client_delay: options.client_delay,
                bytes_per_s: options.bytes_per_s,
                cuts: cuts.clone(),
                bytes: moved,
            };
            tasks.spawn(link.accept(listener));
        }
        Ok(Arc::new(Self {
            addresses,
            bytes,
            cuts,
            _tasks: tasks,
        }))
    }

    /// Cuts two zones off from each other: connections stay open, but nothing moves.
    pub fn cut(&self, one: &str, other: &str) {
        self.cuts.send_modify(|cuts| {
            cuts.insert(pair(one, other));
        });
        log::info!("kind=fault what=cut a={one} b={other}");
    }

    /// Heals one pair; connections that were cut close.
    pub fn heal(&self, one: &str, other: &str) {
        self.cuts.send_modify(|cuts| {
            cuts.remove(&pair(one, other));
        });
        log::info!("kind=fault what=healed a={one} b={other}");
    }

    /// Heals all pairs.
    pub fn heal_all(&self) {
        self.cuts.send_modify(BTreeSet::clear);
        log::info!("kind=fault what=healed a=* b=*");
    }

    /// Returns how many bytes each address that is listened on has moved, in both directions.
    pub fn bytes(&self) -> Vec<(SocketAddr, u64)> {
        let pairs = self.addresses.iter().zip(&self.bytes);
        pairs
            .map(|(address, bytes)| (*address, bytes.load(Ordering::Relaxed)))
            .collect()
    }

    /// Returns the pairs that are cut.
    pub fn cuts(&self) -> Vec<(Arc<str>, Arc<str>)> {
        self.cuts.borrow().iter().cloned().collect()
    }
}

fn hosts(zones: &[Zone]) -> BTreeMap<IpAddr, Arc<str>> {
    let each = zones.iter().flat_map(|zone| {
        let named = zone
            .hosts
            .iter()
            .map(|host| (*host, Arc::clone(&zone.name)));
        named.collect::<Vec<_>>()
    });
    each.collect()
}

fn pair(one: &str, other: &str) -> (Arc<str>, Arc<str>) {
    let (low, high) = if one < other {
        (one, other)
    } else {
        (other, one)
    };
    (Arc::from(low), Arc::from(high))
}

/// One forwarder.
struct Link {
    route: Route,
    hosts: Arc<BTreeMap<IpAddr, Arc<str>>>,
    delay: Duration,
    client_delay: Duration,
    bytes_per_s: Option<NonZeroU32>,
    cuts: watch::Sender<Pairs>,
    bytes: Arc<AtomicU64>,
}

/// Pause after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

impl Link {
    async fn accept(self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let Ok((socket, peer)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            };
            let zone = self.zone_of(peer.ip());
            connections.spawn(self.connection(socket, &zone));
        }
    }

    fn zone_of(&self, peer: IpAddr) -> Arc<str> {
        let fixed = self.route.from_zone.clone();
        let known = fixed.or_else(|| self.hosts.get(&peer).cloned());
        known.unwrap_or_else(|| Arc::from(UNKNOWN))
    }

    fn connection(&self, socket: TcpStream, from: &str) -> impl Future<Output = ()> + use<> {
        let zone = &*self.route.to_zone;
        let delay = if from == zone {
            Duration::ZERO
        } else if from == CLIENT {
            self.client_delay
        } else {
            self.delay
        };
        let path = Path {
            to: self.route.to,
            delay,
            bytes_per_s: self.bytes_per_s,
            pair: pair(from, zone),
            cuts: self.cuts.subscribe(),
            bytes: Arc::clone(&self.bytes),
        };
        forward::connection(socket, path)
    }
}
