//! Whole instances in front of an in-memory group and platform.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use account::rate::Limit;
use async_trait::async_trait;
use clock::Clock;
use clock::Span;
use clock::System;
use clock::Time;
use endpoint::Role;
use relay::external::Caller;
use relay::failover::Lease;
use relay::node::Dependencies;
use relay::node::Fencing;
use relay::node::Options;
use relay::settings;
use relay::settings::Directive;
use relay::settings::Freshness;
use relay::settings::Revision;
use relay::settings::Route;
use relay::warmup::Allowance;
use store::Backup;
use store::Batch;
use store::Change;
use store::Condition;
use store::Delta;
use store::Error;
use store::Memory;
use store::Outcome;
use store::Progress;
use store::Row;
use store::Table;
use store::Watch;
use store::Write;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::Client;
use super::Gate;
use super::caller::Acceptor;
use super::group::GROUP;
use super::group::Group;
use super::link::Dialer;

/// The key of the account `shop`.
pub const KEY: &str = "k1";

/// The wall-clock time at which a world is opened, in milliseconds.
const WALL_START_MS: u64 = 1_796_390_400_000;
/// The first port of instances, and their number; the system takes those of outgoing connections above.
const PORT_FIRST: u32 = 10_000;
const PORTS: u32 = 20_000;

/// How the rows in a reply reach the caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delivery {
    /// The parts that arrive one after the other.
    pub parts: u32,
    /// The pause before each part.
    pub pause: Duration,
    /// Whether nothing arrives after the last part, not even the end.
    pub is_cut_off: bool,
}

/// An in-memory feed of rows.
pub struct Rows<T> {
    rows: Mutex<(u64, BTreeMap<Arc<str>, T>)>,
    changed: Notify,
    /// Whether calls fail.
    is_down: AtomicBool,
    /// Whether a follower gets changed rows rather than having to read all.
    keeps_history: AtomicBool,
    delivery: Mutex<Delivery>,
    /// The number of replies with rows that were begun.
    deliveries: AtomicU64,
}

impl<T: Clone> Rows<T> {
    fn open() -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::new((1, BTreeMap::new())),
            changed: Notify::new(),
            is_down: AtomicBool::new(false),
            keeps_history: AtomicBool::new(false),
            delivery: Mutex::default(),
            deliveries: AtomicU64::new(0),
        })
    }

    /// Sets how the rows in later replies reach the caller.
    pub fn set_delivery(&self, delivery: Delivery) {
        *self.delivery.lock().expect("no test panics with the lock") = delivery;
    }

    /// Makes followers get changed rows instead of reading all again.
    pub fn keep_history(&self) {
        self.keeps_history.store(true, Ordering::Relaxed);
    }

    /// Returns the number of replies with rows that were begun.
    pub fn deliveries(&self) -> u64 {
        self.deliveries.load(Ordering::Relaxed)
    }

    async fn deliver(&self, progress: &Progress) {
        self.deliveries.fetch_add(1, Ordering::Relaxed);
        let delivery = *self.delivery.lock().expect("no test panics with the lock");
        for _ in 0..delivery.parts {
            tokio::time::sleep(delivery.pause).await;
            progress.add(1);
        }
        if delivery.is_cut_off {
            std::future::pending::<()>().await;
        }
    }

    fn batch(&self) -> Batch<T> {
        let rows = self.rows.lock().expect("no test panics with the lock");
        let changes = rows.1.iter().map(|(name, value)| Change {
            name: Arc::clone(name),
            value: Some(value.clone()),
        });
        Batch {
            changes: changes.collect(),
            version: rows.0,
        }
    }

    /// Changes the rows.
    pub fn change(&self, change: impl FnOnce(&mut BTreeMap<Arc<str>, T>)) {
        {
            let mut rows = self.rows.lock().expect("no test panics with the lock");
            rows.0 += 1;
            change(&mut rows.1);
        }
        self.changed.notify_waiters();
    }

    /// Changes the version, whose era may differ, as a store does that returns from an older copy.
    pub fn set_version(&self, version: u64) {
        self.rows.lock().expect("no test panics with the lock").0 = version;
        self.changed.notify_waiters();
    }

    /// Makes calls fail or succeed.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    fn check(&self) -> Result<(), Error> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(Error::Refused {
                step: "read",
                peer: "rows".to_owned(),
                why: "down".to_owned(),
            });
        }
        Ok(())
    }
}

#[async_trait]
impl<T: Clone + Send + Sync> Watch<T> for Rows<T> {
    async fn read(&self, progress: &Progress) -> Result<Batch<T>, Error> {
        self.check()?;
        let batch = self.batch();
        self.deliver(progress).await;
        Ok(batch)
    }

    async fn follow(
        &self,
        after: u64,
        wait: Duration,
        progress: &Progress,
    ) -> Result<Delta<T>, Error> {
        self.check()?;
        let is_behind = || self.rows.lock().expect("no panic").0 > after;
        if !is_behind() {
            // The reply states the current version, whether it changed or the wait elapsed.
            let _elapsed = tokio::time::timeout(wait, self.changed.notified()).await;
        }
        self.check()?;
        if is_behind() && self.keeps_history.load(Ordering::Relaxed) {
            let batch = self.batch();
            self.deliver(progress).await;
            return Ok(Delta::Batch(batch));
        }
        if is_behind() {
            // The feed keeps no history, so the follower reads all rows again.
            return Ok(Delta::Compacted);
        }
        Ok(Delta::Batch(Batch {
            changes: Vec::new(),
            version: after,
        }))
    }
}

/// A clock that can advance without the instance running.
pub struct SuspendableClock {
    clock: System,
    /// Microseconds for which the instance was suspended.
    suspended_us: AtomicU64,
    /// When the world was opened; the wall clock of all instances counts from then.
    opened: Instant,
}

impl SuspendableClock {
    fn open(opened: Instant) -> Arc<Self> {
        Arc::new(Self {
            opened,
            clock: System::open(),
            suspended_us: AtomicU64::new(0),
        })
    }
}

impl Clock for SuspendableClock {
    fn now(&self) -> Time {
        self.clock.now() + Span::from_micros(self.suspended_us.load(Ordering::Relaxed))
    }

    fn wall_ms(&self) -> u64 {
        // CAST: a test takes far less than 2^64 milliseconds.
        WALL_START_MS + self.opened.elapsed().as_millis() as u64
    }
}

/// Returns the default settings: one group and a database for each consistency level.
pub fn revision(number: u64) -> Revision {
    let staleness = Span::from_millis(1_500);
    let kinds = [
        ("orders", Freshness::Latest),
        ("gallery", Freshness::Bounded { staleness }),
        ("status", Freshness::ReadYourWrites { staleness }),
    ];
    let routes = kinds.into_iter().map(|(database, freshness)| {
        let route = Route {
            name: Arc::from(database),
            group: Arc::from(GROUP),
            freshness,
            statement_timeout: Span::from_secs(3),
            target_latency: Span::from_millis(200),
            priority: 1,
            is_public: false,
        };
        (Arc::from(database), Arc::new(route))
    });
    let group = settings::Group {
        max_connections: 34,
        sync_replicas: 1,
        warmup: Span::ZERO,
        warmup_rate_milli: 0,
    };
    let account = |key: &str| settings::Account {
        keys: BTreeSet::from([Arc::from(key)]),
        limit: Limit {
            rate: 100_000,
            burst: 100_000,
        },
    };
    Revision {
        number,
        routes: routes.collect(),
        groups: BTreeMap::from([(Arc::from(GROUP), group)]),
        accounts: BTreeMap::from([
            (Arc::from("shop"), account(KEY)),
            (Arc::from("club"), account("k2")),
        ]),
        transaction_idle_timeout: Span::from_secs(3),
    }
}

/// Returns settings under which three connections to each server are divided among the instances.
pub fn scarce_revision(number: u64) -> Revision {
    let mut revision = revision(number);
    let group = revision.groups.get_mut(GROUP).expect("the group");
    group.max_connections = 5;
    revision
}

/// The table as an instance reaches it whose datagrams no other instance accepts.
pub struct Outpost {
    table: Arc<Memory>,
    is_down: AtomicBool,
    /// From which the table returns right before the next commit of a group's row.
    backup: Mutex<Option<Backup>>,
}

impl Outpost {
    fn open(table: Arc<Memory>) -> Arc<Self> {
        Arc::new(Self {
            table,
            is_down: AtomicBool::new(false),
            backup: Mutex::default(),
        })
    }

    /// Makes the table return from `backup` right before the next commit of a group's row.
    pub fn restore_before_commit(&self, backup: Backup) {
        *self.backup.lock().expect("no test panics with the lock") = Some(backup);
    }

    /// Makes all further calls fail.
    pub fn cut(&self) {
        self.is_down.store(true, Ordering::Relaxed);
    }

    fn check(&self) -> Result<(), Error> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(Error::Refused {
                step: "call",
                peer: "table".to_owned(),
                why: "cut off".to_owned(),
            });
        }
        Ok(())
    }
}

#[async_trait]
impl Table for Outpost {
    fn era(&self) -> u64 {
        self.table.era()
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        self.check()?;
        let row = self.table.get(key).await?;
        Ok(row.map(|row| Row {
            // Another secret: the instances refuse each other's datagrams.
            value: match key {
                "fleet/secret" => Arc::from("\"other\""),
                _ => row.value,
            },
            ..row
        }))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        self.check()?;
        self.table.list(prefix).await
    }

    async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<Outcome, Error> {
        self.check()?;
        let is_of_group = |write: &Write| match write {
            Write::Put { key, .. } | Write::Delete { key } => key.starts_with(Lease::PREFIX),
        };
        if writes.iter().any(is_of_group)
            && let Some(backup) = self.backup.lock().expect("no panic").take()
        {
            self.table.restore(backup);
        }
        self.table.commit(conditions, writes).await
    }
}

/// The group, the platform and the state that instances share.
pub struct World {
    pub group: Arc<Group>,
    pub table: Arc<Memory>,
    pub directives: Arc<Rows<Directive>>,
    pub servers: Arc<Rows<settings::Server>>,
    fencing: Fencing,
    opened: Instant,
    evacuation_bound: Option<Span>,
    drain_bound: Option<Span>,
    /// Whether the instances forward statements to each other.
    is_forwarding: bool,
    /// The zone of the instances. If it is "z", all servers are there too; otherwise each server is
    /// in the zone of its name, and reads prefer the one in the instances' zone.
    zone: Mutex<Arc<str>>,
    /// The peer address of each instance, which is the same after a restart.
    peers: Mutex<BTreeMap<Arc<str>, SocketAddr>>,
}

impl World {
    /// Opens a world in which all servers have written their entries.
    pub fn open() -> Self {
        let world = Self {
            group: Group::open(),
            table: Memory::open(),
            directives: Rows::open(),
            servers: Rows::open(),
            fencing: Fencing::Enforced,
            opened: Instant::now(),
            evacuation_bound: None,
            drain_bound: None,
            is_forwarding: false,
            zone: Mutex::new(Arc::from("z")),
            peers: Mutex::default(),
        };
        world.set_revision(revision(1));
        for (port, name) in [(1, "a"), (2, "b"), (3, "c")] {
            world.set_entry(name, port, false);
        }
        world
    }

    /// Opens a world in which servers that leave get no new statement after `bound`.
    pub fn open_with_drain_bound(bound: Span) -> Self {
        Self {
            drain_bound: Some(bound),
            ..Self::open()
        }
    }

    /// Opens a world whose instances follow evacuations; each server is in the zone of its name.
    pub fn open_evacuable(bound: Span) -> Self {
        let world = Self {
            evacuation_bound: Some(bound),
            ..Self::open()
        };
        world.set_zones();
        world
    }

    /// As `open_evacuable`; a replaced primary goes on as such until it is demoted.
    pub fn open_evacuable_unchecked(bound: Span) -> Self {
        let world = Self {
            evacuation_bound: Some(bound),
            ..Self::open_unchecked()
        };
        world.set_zones();
        world
    }

    /// Puts each server into the zone of its name, and instances that start later next to `b`.
    pub fn set_zones(&self) {
        *self.zone.lock().expect("no panic") = Arc::from("b");
        for (port, name) in [(1, "a"), (2, "b"), (3, "c")] {
            self.set_entry(name, port, false);
        }
    }

    fn instance_zone(&self) -> Arc<str> {
        Arc::clone(&self.zone.lock().expect("no panic"))
    }

    /// Opens a world in which a replaced primary goes on as such until it is demoted.
    pub fn open_unchecked() -> Self {
        let world = Self {
            fencing: Fencing::Unchecked,
            ..Self::open()
        };
        world.group.keep_deposed_primaries();
        world
    }

    /// Opens a world whose instances forward statements, with less than two connections for each.
    pub fn open_scarce() -> Self {
        let world = Self {
            is_forwarding: true,
            ..Self::open()
        };
        world.set_revision(scarce_revision(2));
        world
    }

    /// Replaces the current revision of the settings.
    pub fn set_revision(&self, revision: Revision) {
        self.directives.change(|rows| {
            rows.insert(Arc::from("config"), Directive::Settings(revision));
        });
    }

    /// Writes the row that evacuates a zone.
    pub fn evacuate(&self, zone: &str) {
        self.directives.change(|rows| {
            let key = format!("{}{zone}", Directive::EVACUATION_PREFIX);
            rows.insert(Arc::from(key), Directive::Evacuation);
        });
    }

    /// Removes the row that evacuates a zone.
    pub fn end_evacuation(&self, zone: &str) {
        self.directives.change(|rows| {
            let key = format!("{}{zone}", Directive::EVACUATION_PREFIX);
            rows.remove(&*key);
        });
    }

    /// Writes a server's entry.
    pub fn set_entry(&self, name: &str, port: u16, is_draining: bool) {
        let zone = self.entry(name, port).zone;
        self.set_entry_in(&zone, name, port, is_draining);
    }

    /// Writes the entry of a server in a zone.
    pub fn set_entry_in(&self, zone: &str, name: &str, port: u16, is_draining: bool) {
        self.put_entry(
            name,
            settings::Server {
                zone: Arc::from(zone),
                is_draining,
                ..self.entry(name, port)
            },
        );
    }

    /// Writes the entry of a server that started again at `born`.
    pub fn set_restarted_entry(&self, name: &str, port: u16, born: u64, is_draining: bool) {
        self.put_entry(
            name,
            settings::Server {
                born,
                is_draining,
                ..self.entry(name, port)
            },
        );
    }

    /// Writes the entry of a server that stays cold for a while.
    pub fn set_cold_entry(&self, name: &str, port: u16, warmup_left_ms: u64) {
        self.put_entry(
            name,
            settings::Server {
                warmup_left_ms,
                ..self.entry(name, port)
            },
        );
    }

    fn put_entry(&self, name: &str, entry: settings::Server) {
        self.servers.change(|rows| {
            rows.insert(Arc::from(name), entry);
        });
    }

    fn entry(&self, name: &str, port: u16) -> settings::Server {
        let role = match self.group.leader().as_deref() == Some(name) {
            true => Role::Primary,
            false => Role::Replica,
        };
        settings::Server {
            group: Arc::from(GROUP),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            zone: match &*self.instance_zone() {
                "z" => Arc::from("z"),
                _ => Arc::from(name),
            },
            slots: 5,
            is_draining: false,
            role,
            born: 1,
            warmup_left_ms: 0,
        }
    }

    /// Starts an instance and waits until it serves statements.
    pub async fn start(&self, name: &str) -> Instance {
        let instance = self.spawn(name);
        instance.wait().await;
        instance
    }

    /// Starts an instance whose keys stay valid during a store outage, and waits until it serves.
    pub async fn start_lenient(&self, name: &str) -> Instance {
        let instance = self.start_with(name, None);
        instance.wait().await;
        instance
    }

    /// Starts an instance that trusts keys for `grace` after a confirmation, and waits until it
    /// serves.
    pub async fn start_with_grace(&self, name: &str, grace: Span) -> Instance {
        let instance = self.start_with(name, Some(grace));
        instance.wait().await;
        instance
    }

    /// Starts an instance without waiting until it serves.
    pub fn spawn(&self, name: &str) -> Instance {
        self.start_with(name, Some(Span::from_secs(3)))
    }

    /// Returns the peer address of an instance.
    pub fn peer(&self, name: &str) -> SocketAddr {
        let mut peers = self.peers.lock().expect("no test panics with the lock");
        *peers.entry(Arc::from(name)).or_insert_with(free_address)
    }

    /// Starts an instance that exchanges no datagrams with the others, and waits until it serves.
    pub async fn start_apart(&self, name: &str) -> (Instance, Arc<Outpost>) {
        let outpost = Outpost::open(Arc::clone(&self.table));
        let table: Arc<Outpost> = Arc::clone(&outpost);
        let instance = self.start_on(name, None, table, self.directives.clone());
        instance.wait().await;
        (instance, outpost)
    }

    /// Starts an instance that can be kept from reading the settings, and waits until it serves.
    pub async fn start_gated(&self, name: &str) -> (Instance, Arc<Gate<Directive>>) {
        let gate = Gate::open(self.directives.clone());
        let directives: Arc<Gate<Directive>> = Arc::clone(&gate);
        let table: Arc<Memory> = Arc::clone(&self.table);
        let instance = self.start_on(name, Some(Span::from_secs(3)), table, directives);
        instance.wait().await;
        (instance, gate)
    }

    fn start_with(&self, name: &str, key_grace: Option<Span>) -> Instance {
        let table: Arc<Memory> = Arc::clone(&self.table);
        self.start_on(name, key_grace, table, self.directives.clone())
    }

    pub(super) fn start_on(
        &self,
        name: &str,
        key_grace: Option<Span>,
        table: Arc<dyn Table>,
        directives: Arc<dyn Watch<Directive>>,
    ) -> Instance {
        let options = Options {
            name: Arc::from(name),
            zone: self.instance_zone(),
            peer: self.peer(name),
            ready: SocketAddr::from(([127, 0, 0, 1], 0)),
            key_grace,
            quota: None,
            fencing: self.fencing,
            evacuation_bound: self.evacuation_bound,
            drain_bound: self.drain_bound,
            warmup_allowance: Allowance::default(),
            is_forwarding: self.is_forwarding,
            stop_timeout: Span::from_secs(6),
            retry_after: Span::from_millis(500),
        };
        let promoter: Arc<Group> = Arc::clone(&self.group);
        let clock = SuspendableClock::open(self.opened);
        let dependencies = Dependencies {
            connector: Arc::new(Dialer {
                group: Arc::clone(&self.group),
                instance: Arc::from(name),
            }),
            promoter,
            table,
            directives,
            servers: self.servers.clone(),
            clock: Arc::<SuspendableClock>::clone(&clock),
        };
        let (callers, listener) = Acceptor::open();
        let (stop, stopped) = oneshot::channel::<()>();
        let until = async move {
            // A dropped sender ends the instance too.
            let _stopped = stopped.await;
        };
        let run = relay::run(options, dependencies, Box::new(listener), "/ready", until);
        let task = tokio::spawn(run);
        Instance {
            callers,
            clock,
            stop: Some(stop),
            task,
        }
    }
}

/// A running instance.
pub struct Instance {
    callers: mpsc::Sender<Box<dyn Caller>>,
    clock: Arc<SuspendableClock>,
    stop: Option<oneshot::Sender<()>>,
    pub task: JoinHandle<Result<(), relay::Error>>,
}

impl Instance {
    /// Begins a session of the account `shop`.
    pub async fn connect(&self, database: &str) -> Client {
        let connected = self.connect_as(database, KEY).await;
        connected.expect("the key is in force")
    }

    /// Begins a session with a key.
    pub async fn connect_as(
        &self,
        database: &str,
        key: &str,
    ) -> Result<Client, relay::message::Failure> {
        Client::connect(&self.callers, database, key).await
    }

    /// Advances the instance's clock without running it, as on a suspended machine.
    pub fn suspend(&self, span: Span) {
        let micros = span.as_micros();
        self.clock.suspended_us.fetch_add(micros, Ordering::Relaxed);
    }

    /// Aborts the instance as a crash does and lets its pending calls end; its callers must have
    /// disconnected.
    pub async fn crash(self) {
        self.task.abort();
        let ended = self.task.await;
        assert!(ended.is_err_and(|error| error.is_cancelled()));
        tokio::time::sleep(Duration::from_secs(2)).await;
    }

    /// Tells the instance to stop.
    pub fn stop(&mut self) {
        drop(self.stop.take());
    }

    /// Waits until statements are served.
    pub async fn wait(&self) {
        for _ in 0..200 {
            tokio::time::sleep(Duration::from_millis(50)).await;
            if let Ok(mut client) = self.connect_as("orders", KEY).await
                && client.read("first").await.is_ok()
            {
                return;
            }
        }
        panic!("the instance does not serve");
    }
}

/// Returns an address that is unused over UDP and TCP.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        // An instance that restarts binds its port again; below the ports of outgoing connections nobody
        // takes it meanwhile.
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORT_FIRST + (std::process::id() * 64 + step) % PORTS;
        let port = u16::try_from(port).expect("ports end below 30,000");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if UdpSocket::bind(address).is_ok() && TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
