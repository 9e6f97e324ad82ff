//! One database group, as seen by one instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use clock::Clock;
use clock::Span;
use clock::Time;
use endpoint::Position;
use endpoint::Role;
use tokio::sync::Notify;

use crate::external::Connector;
use crate::external::Target;
use crate::failover::Departed;
use crate::failover::Departures;
use crate::failover::Detector;
use crate::failover::Recheck;
use crate::group::Health;
use crate::group::Leadership;
use crate::group::Server;
use crate::node::lock;
use crate::pool::Pool;
use crate::settings;

/// A server whose entry vanished still counts as a holder of commits for this long: a crashed
/// one is back with its log well before.
const REMEMBERED: Span = Span::from_secs(30);

/// Statements that all instances together send to a server at a time, for each of its slots: some
/// run, and the others keep the slots from falling idle.
const STATEMENTS_PER_SLOT: usize = 4;
/// Statements that an instance may always send to a server at a time.
const STATEMENTS_MIN: usize = 2;
/// What a read at the leader costs in comparison, in units of one waiting request: the leader
/// also has all writes.
const LEADER_COST: usize = 3;
/// What opening a connection costs in comparison.
const OPEN_COST: usize = 2;
/// What another availability zone costs in comparison.
const ZONE_COST: usize = 1;

/// A server whose entry vanished.
#[derive(Clone, Debug)]
struct Vanished {
    /// When its entry vanished.
    at: Time,
    /// What it last said of itself, if that was seen here.
    entry: Option<settings::Server>,
    /// When it was found to have left for good.
    left: Option<Time>,
}

/// One database group.
pub struct Group {
    /// The group's name.
    pub name: Arc<str>,
    /// The settings in force for it.
    pub settings: Mutex<settings::Group>,
    /// Who leads it.
    pub leadership: Mutex<Leadership>,
    /// Its servers, by id.
    servers: Mutex<BTreeMap<Arc<str>, Arc<Server>>>,
    /// Servers whose entries vanished, by id; they may still hold commits.
    vanished: Mutex<BTreeMap<Arc<str>, Vanished>>,
    /// Notified when the leader or the servers change.
    pub changed: Notify,
    /// Whether the leader is to be replaced.
    pub detector: Mutex<Detector>,
    /// Whether the instance that replaced a leader died at it.
    pub recheck: Mutex<Recheck>,
    /// What is known of the row of departed servers.
    pub departures: Mutex<Departures>,
    /// Whether other instances reach the leader and this one does not.
    pub is_leader_unreachable: AtomicBool,
    /// Whether this instance is replacing the leader.
    pub is_in_failover: AtomicBool,
    connector: Arc<dyn Connector>,
    clock: Arc<dyn Clock>,
}

impl Group {
    /// Opens a group without servers.
    pub fn open(
        name: &Arc<str>,
        settings: settings::Group,
        connector: Arc<dyn Connector>,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        Arc::new(Self {
            name: Arc::clone(name),
            settings: Mutex::new(settings),
            leadership: Mutex::default(),
            servers: Mutex::default(),
            vanished: Mutex::default(),
            changed: Notify::new(),
            detector: Mutex::default(),
            recheck: Mutex::default(),
            departures: Mutex::default(),
            is_leader_unreachable: AtomicBool::new(false),
            is_in_failover: AtomicBool::new(false),
            connector,
            clock,
        })
    }

    /// Returns the servers.
    pub fn servers(&self) -> Vec<Arc<Server>> {
        lock(&self.servers).values().cloned().collect()
    }

    /// Returns a server.
    pub fn server(&self, name: &str) -> Option<Arc<Server>> {
        lock(&self.servers).get(name).cloned()
    }

    /// Returns the leader.
    pub fn leader(&self) -> Option<Arc<Server>> {
        let name = lock(&self.leadership).server().cloned()?;
        self.server(&name)
    }

    /// Takes a server's entry, `None` once it is gone.
    pub fn on_entry(&self, name: &Arc<str>, entry: Option<settings::Server>) {
        let Some(entry) = entry else {
            self.remove(name);
            return;
        };
        lock(&self.vanished).remove(name);
        self.supersede(name, &entry);
        let known = self.server(name);
        if let Some(server) = known {
            let mut held = lock(&server.entry);
            if held.born == entry.born && held.address == entry.address {
                let was_draining = held.is_draining;
                if entry.is_draining && !was_draining {
                    log::info!("event=server-draining group={} server={name}", self.name);
                }
                *held = entry;
                drop(held);
                self.changed.notify_waiters();
                return;
            }
            drop(held);
            server.pool.close();
        }
        log::info!(
            "event=server-joined group={} server={name} address={} role={} born={}",
            self.name,
            entry.address,
            entry.role,
            entry.born
        );
        let health: Arc<Mutex<Health>> = Arc::default();
        let target = Target {
            group: Arc::clone(&self.name),
            server: Arc::clone(name),
            address: entry.address,
            account: Arc::from(""),
        };
        let pool = Pool::open(
            target,
            Arc::clone(&self.connector),
            Arc::clone(&health),
            Arc::clone(&self.clock),
        );
        let server = Server {
            name: Arc::clone(name),
            entry: Mutex::new(entry),
            health,
            pool,
        };
        lock(&self.servers).insert(Arc::clone(name), Arc::new(server));
        self.changed.notify_waiters();
    }

    /// Sets how many of `total` connections to each server this instance may hold.
    pub fn set_connection_share(&self, connections: usize, total: usize) {
        for server in self.servers() {
            let slots = lock(&server.entry).slots;
            let statements = (slots * STATEMENTS_PER_SLOT * connections).div_ceil(total.max(1));
            let statements = statements.max(STATEMENTS_MIN);
            server.pool.set_limits(connections, statements);
        }
    }

    /// Returns the ids of all servers that may hold acknowledged commits.
    pub fn commit_holders(&self, now: Time) -> BTreeSet<Arc<str>> {
        let mut holders: BTreeSet<Arc<str>> = lock(&self.servers).keys().cloned().collect();
        let mut vanished = lock(&self.vanished);
        vanished.retain(|_, server| now < server.at + REMEMBERED);
        holders.extend(vanished.keys().cloned());
        holders
    }

    /// Returns the servers whose entries vanished after they had said that they leave, as long as
    /// they count as holders.
    pub fn departed(&self, now: Time) -> Departed {
        lock(&self.vanished)
            .iter()
            .filter(|(_, server)| now < server.at + REMEMBERED)
            .filter_map(|(name, server)| Some((Arc::clone(name), server.entry.clone()?)))
            .filter(|(_, entry)| entry.is_draining)
            .collect()
    }

    /// Returns the departed servers that may not have left yet.
    ///
    /// One may have left, or may only be cut off from the store and still acknowledge commits.
    pub fn unconfirmed_departures(&self) -> Departed {
        let mut departed = self.departed(self.clock.now());
        let vanished = lock(&self.vanished);
        departed.retain(|name, _| {
            vanished
                .get(name)
                .is_some_and(|server| server.left.is_none())
        });
        departed
    }

    /// Counts departed servers that were recorded before this instance started.
    pub fn restore_departed(&self, departed: Departed) {
        let at = self.clock.now();
        let servers = lock(&self.servers);
        let mut vanished = lock(&self.vanished);
        for (name, entry) in departed {
            let is_followed = servers.iter().any(|(known, server)| {
                *known == name || lock(&server.entry).address == entry.address
            });
            if is_followed {
                continue;
            }
            log::info!("event=server-recalled group={} server={name}", self.name);
            vanished.entry(name).or_insert(Vanished {
                at,
                entry: Some(entry),
                left: None,
            });
        }
    }

    /// Counts servers that another instance knew as holders of commits.
    pub fn restore_holders(&self, names: &BTreeSet<Arc<str>>) {
        let at = self.clock.now();
        let servers = lock(&self.servers);
        let mut vanished = lock(&self.vanished);
        for name in names.iter().filter(|name| !servers.contains_key(*name)) {
            vanished.entry(Arc::clone(name)).or_insert(Vanished {
                at,
                entry: None,
                left: None,
            });
        }
    }

    /// Notes that a server is known to have left.
    ///
    /// Commits that only it and the primary held may still be missing elsewhere, so it counts as
    /// a holder until a later commit is acknowledged without it.
    pub fn on_departure_confirmed(&self, name: &str) {
        if let Some(server) = lock(&self.vanished).get_mut(name) {
            server.left = Some(self.clock.now());
            log::info!("event=server-left group={} server={name}", self.name);
        }
    }

    /// Returns servers that take themselves for the primary, else all, to look for the leader.
    pub fn suspects(&self) -> Vec<Arc<Server>> {
        let (mut first, rest): (Vec<_>, Vec<_>) = self
            .servers()
            .into_iter()
            .partition(|server| lock(&server.entry).role == Role::Primary);
        first.extend(rest);
        first
    }

    /// Returns the best server for a read that needs `floor`, but for those in `tried`.
    pub fn choose_reader(
        &self,
        now: Time,
        floor: Position,
        account: &str,
        zone: &str,
        tried: &BTreeSet<Arc<str>>,
    ) -> Option<Arc<Server>> {
        let leader = lock(&self.leadership).server().cloned();
        self.servers()
            .into_iter()
            .filter(|server| !tried.contains(&server.name) && !server.is_draining())
            .filter(|server| lock(&server.health).suits(now, floor))
            .min_by_key(|server| {
                let is_leader = leader.as_ref() == Some(&server.name);
                let waiting = lock(&server.health).waiting() + server.pool.queue_len();
                let must_open = !server.pool.has_idle(account);
                let is_far = *server.zone() != *zone;
                waiting
                    + usize::from(is_leader) * LEADER_COST
                    + usize::from(must_open) * OPEN_COST
                    + usize::from(is_far) * ZONE_COST
            })
    }

    /// Takes an answer that only a leader gives.
    pub fn on_proof(&self, sent: Time, server: &Arc<str>, position: Position) {
        let is_new = lock(&self.leadership).on_proof(sent, server, position);
        self.is_leader_unreachable.store(false, Ordering::Relaxed);
        if is_new {
            log::info!(
                "event=leader-known group={} server={server} position={position}",
                self.name
            );
            self.changed.notify_waiters();
        }
    }

    /// Takes note of a commit that the leader acknowledged.
    pub fn on_commit(&self, sent: Time, server: &Arc<str>, position: Position) {
        self.on_proof(sent, server, position);
        lock(&self.leadership).on_acknowledged(sent, position);
        // Whoever acknowledged it has every earlier commit too.
        lock(&self.vanished).retain(|_, server| server.left.is_none_or(|left| sent <= left));
    }

    /// Takes note that a server does not lead.
    pub fn on_not_leader(&self, server: &str) {
        if lock(&self.leadership).on_not_leader(server) {
            log::info!("event=leader-lost group={} server={server}", self.name);
            self.changed.notify_waiters();
        }
    }

    /// Drops servers whose address another one has taken over, together with their log.
    fn supersede(&self, name: &Arc<str>, entry: &settings::Server) {
        let is_former = |former: &Arc<str>, address| former != name && address == entry.address;
        let formers: Vec<Arc<str>> = self
            .servers()
            .iter()
            .filter(|server| is_former(&server.name, lock(&server.entry).address))
            .map(|server| Arc::clone(&server.name))
            .collect();
        for former in formers {
            self.remove(&former);
        }
        lock(&self.vanished).retain(|former, server| {
            let address = server.entry.as_ref().map(|entry| entry.address);
            address.is_none_or(|address| !is_former(former, address))
        });
    }

    fn remove(&self, name: &Arc<str>) {
        let Some(server) = lock(&self.servers).remove(name) else {
            return;
        };
        let entry = lock(&server.entry).clone();
        log::info!(
            "event=server-gone group={} server={name} was_draining={}",
            self.name,
            entry.is_draining
        );
        let at = self.clock.now();
        let vanished = Vanished {
            at,
            entry: Some(entry),
            left: None,
        };
        lock(&self.vanished).insert(Arc::clone(name), vanished);
        server.pool.close();
        self.on_not_leader(name);
        self.changed.notify_waiters();
    }
}
