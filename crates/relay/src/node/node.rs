//! State shared by the tasks and sessions of an instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use account::key::Decision as KeyDecision;
use account::key::Fallback;
use account::key::Keyring;
use account::key::Keys;
use account::key::Policy as KeyPolicy;
use account::rate;
use account::rate::Attempt;
use account::rate::Decision;
use account::rate::Holder;
use account::rate::Limiter;
use clock::Span;
use clock::Time;
use store::Progress;
use tokio::sync::Notify;
use tokio::sync::OnceCell;
use tokio::time::Instant;

use crate::balance;
use crate::balance::Counts;
use crate::evacuation::Evacuations;
use crate::evacuation::Transition;
use crate::failover::Leases;
use crate::failover::Rows;
use crate::failover::Run;
use crate::forward::Forwarder;
use crate::group::Group;
use crate::message::Code;
use crate::message::Failure;
use crate::metrics::Metrics;
use crate::node::Dependencies;
use crate::node::Load;
use crate::node::Logger;
use crate::node::Options;
use crate::node::Readiness;
use crate::node::Shares;
use crate::peers::Catalog;
use crate::peers::Confirmations;
use crate::peers::Payload;
use crate::peers::Peers;
use crate::peers::Report;
use crate::peers::Reports;
use crate::peers::Topic;
use crate::peers::Topics;
use crate::peers::Transfer;
use crate::peers::signed_ms;
use crate::schedule;
use crate::schedule::Reason;
use crate::session::Job;
use crate::settings::Revision;
use crate::settings::Route;
use crate::settings::Server;
use crate::task::confirmation;
use crate::warmup::Turn;

/// Connections reserved at each server for the failover tasks.
const SPARE_CONNECTIONS: usize = 2;

/// In fleets of this size instances learn the mean load from those that probe the leaders, as
/// reports to all grow with the square of the fleet.
const REPORTED_FLEET_MIN: usize = 32;

/// With more new members at once, one line is logged for all: at the start of a large fleet the lines
/// of all instances would grow with its square.
const NEW_MEMBERS_LOGGED_MAX: usize = 8;

/// A member list read longer ago than this doesn't tell which instances are alive.
const MEMBERS_MAX_AGE: Span = Span::from_secs(12);

/// State shared by the tasks and sessions of an instance.
pub struct Node {
    /// The startup options.
    pub options: Options,
    /// The external services.
    pub dependencies: Dependencies,
    /// A random number that identifies this run of the instance.
    pub incarnation: u64,
    /// When the instance started.
    pub started: Time,
    revision: Mutex<Arc<Revision>>,
    /// The evacuated zones; the groups' servers refer to them.
    pub evacuations: Arc<Mutex<Evacuations>>,
    /// Notified when an evacuation begins or ends.
    pub evacuations_changed: Notify,
    /// The valid keys; the keyring's revisions are those of the settings.
    pub keyring: Mutex<Keyring<()>>,
    /// The rate limits of the accounts.
    pub limiter: Mutex<Limiter>,
    /// Notified when the limiter has urgent work.
    pub limiter_due: Notify,
    /// Notified when another instance sent tokens.
    pub tokens_received: Notify,
    /// Peer addresses of the other live instances, by name.
    members: Mutex<BTreeMap<Arc<str>, SocketAddr>>,
    /// The instances that read the store for all others, by topic; ranked when first needed after a
    /// change of the members.
    pollers: Mutex<BTreeMap<Topic, Arc<Vec<Arc<str>>>>>,
    /// Requests for confirmations that what an instance knows is current.
    pub confirmations: Topics<Mutex<Confirmations>>,
    /// Notified when another instance confirmed something.
    pub confirmed: Topics<Notify>,
    /// The servers' entries as this instance passes them on; empty unless it reads the store.
    pub catalog: Mutex<Catalog>,
    /// The request for the servers' entries that another instance read.
    pub transfer: Mutex<Transfer>,
    /// Notified when the requested entries arrived.
    pub transferred: Notify,
    /// Queries for reports of the leaders' positions.
    pub reports: Mutex<Reports>,
    /// Notified when reports arrived.
    pub reported: Notify,
    /// Whether another instance reports the leaders' positions, so that this one need not probe.
    pub has_reports: AtomicBool,
    /// Notified when a group may have a new leader.
    pub leader_appointed: Notify,
    groups: Mutex<BTreeMap<Arc<str>, Arc<Group>>>,
    /// The entries of all servers, including those whose group isn't in the settings yet.
    entries: Mutex<BTreeMap<Arc<str>, Server>>,
    /// The sender of messages to other instances.
    pub peers: Peers,
    /// The rows of groups that earlier runs left in the table.
    pub initial_rows: OnceCell<Rows>,
    /// What is known of the failover leases.
    pub leases: Leases,
    /// The load of this instance.
    pub load: Mutex<Load>,
    /// The loads of the other instances.
    pub shares: Mutex<Shares>,
    /// Forwards statements to other instances of the zone.
    pub forwarder: Forwarder,
    /// Readiness for new callers.
    pub readiness: Mutex<Readiness>,
    /// The progress of the current call for settings.
    pub settings_reply: Mutex<Arc<Progress>>,
    /// Whether the process is stopping.
    pub is_stopping: AtomicBool,
    /// When the last request must be answered; set once the process is stopping.
    last_answer: OnceLock<Instant>,
    /// Notified when a caller is refused because the validity of its key is unknown.
    pub key_unknown: Notify,
    /// Notified when settings were applied.
    pub applied: Notify,
    /// Notified when idle sessions should check whether to close.
    pub drain: Notify,
    /// The metrics.
    pub metrics: Metrics,
    /// The logger of single requests.
    pub logger: Logger,
}

impl Node {
    /// Opens the shared state.
    pub fn open(
        options: Options,
        dependencies: Dependencies,
        peers: Peers,
        policy: rate::Policy,
    ) -> Arc<Self> {
        let incarnation = rand::random();
        let keys = key_policy(&options);
        let policy = rate::Policy {
            quota: options.quota,
            ..policy
        };
        let limiter = Limiter::open(&options.name, incarnation, options.peer, policy);
        let logger = Logger::open(Arc::clone(&dependencies.clock));
        let metrics = Metrics::open();
        let dependencies = dependencies.metered(&metrics.store_calls);
        Arc::new(Self {
            started: dependencies.clock.now(),
            dependencies,
            incarnation,
            revision: Mutex::default(),
            evacuations: Arc::default(),
            evacuations_changed: Notify::new(),
            keyring: Mutex::new(Keyring::open(keys)),
            limiter: Mutex::new(limiter),
            limiter_due: Notify::new(),
            tokens_received: Notify::new(),
            members: Mutex::default(),
            pollers: Mutex::default(),
            confirmations: Topics::open(|| Mutex::new(Confirmations::open(incarnation))),
            confirmed: Topics::default(),
            catalog: Mutex::default(),
            transfer: Mutex::new(Transfer::open(incarnation)),
            transferred: Notify::new(),
            reports: Mutex::new(Reports::open(incarnation)),
            reported: Notify::new(),
            has_reports: AtomicBool::new(false),
            leader_appointed: Notify::new(),
            groups: Mutex::default(),
            entries: Mutex::default(),
            peers,
            initial_rows: OnceCell::new(),
            leases: Leases::default(),
            load: Mutex::default(),
            shares: Mutex::default(),
            forwarder: Forwarder::open(&options.name),
            readiness: Mutex::default(),
            settings_reply: Mutex::default(),
            is_stopping: AtomicBool::new(false),
            last_answer: OnceLock::new(),
            key_unknown: Notify::new(),
            applied: Notify::new(),
            drain: Notify::new(),
            metrics,
            logger,
            options,
        })
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.dependencies.clock.now()
    }

    /// Sets when the last request must be answered, as the process ends soon after; only the first
    /// call has an effect.
    pub fn set_last_answer(&self, at: Instant) {
        self.last_answer.get_or_init(|| at);
    }

    /// Returns when a statement that arrives now and may take `timeout` must be answered.
    pub fn statement_deadline(&self, timeout: Span) -> Instant {
        let deadline = Instant::now() + timeout.into();
        self.last_answer
            .get()
            .map_or(deadline, |last| deadline.min(*last))
    }

    /// Returns this run of the instance's process, as failover leases record it.
    pub fn this_run(&self) -> Run<'_> {
        Run {
            name: &self.options.name,
            address: self.options.peer,
            incarnation: self.incarnation,
        }
    }

    /// Returns the current settings.
    pub fn revision(&self) -> Arc<Revision> {
        Arc::clone(&lock(&self.revision))
    }

    /// Returns a group.
    pub fn group(&self, name: &str) -> Option<Arc<Group>> {
        lock(&self.groups).get(name).cloned()
    }

    /// Returns all groups.
    pub fn groups(&self) -> Vec<Arc<Group>> {
        lock(&self.groups).values().cloned().collect()
    }

    /// Returns the peer addresses of the other live instances, by name.
    pub fn peer_addresses(&self) -> BTreeMap<Arc<str>, SocketAddr> {
        lock(&self.members).clone()
    }

    /// Returns the number of live instances, this one included.
    pub fn fleet_size(&self) -> usize {
        lock(&self.members).len() + 1
    }

    /// Returns whether another live instance has this peer address.
    pub fn has_peer_at(&self, address: SocketAddr) -> bool {
        lock(&self.members).values().any(|peer| *peer == address)
    }

    /// Returns the latest positions of the leaders that this instance has probed, for a query that
    /// arrived at `received`.
    pub fn leader_reports(&self, received: Time) -> Vec<Report> {
        let mut reports = Vec::new();
        for group in self.groups() {
            let latest = lock(&group.leadership).latest();
            let Some((server, sample)) = latest else {
                continue;
            };
            reports.push(Report {
                group: Arc::clone(&group.name),
                server,
                position: sample.position,
                since_ms: signed_ms(received, sample.sent),
            });
        }
        reports
    }

    /// Returns this instance's unanswered requests at the servers; `None` where connections are not
    /// scarce.
    ///
    /// A report without requests is sent too, since the number of reports counts.
    pub fn server_loads(&self) -> Option<Counts> {
        let groups = self.groups();
        let mut loads = groups.iter().filter_map(|group| group.loads()).peekable();
        loads.peek()?;
        Some(balance::largest(loads.flatten().collect()))
    }

    /// Estimates the unanswered requests of all instances but `receiver`, or but this one; `None`
    /// where connections are not scarce.
    pub fn fleet_loads(&self, now: Time, receiver: Option<SocketAddr>) -> Option<Counts> {
        let own = self.server_loads()?;
        let others = lock(&self.members).len();
        let mut reports = lock(&self.reports);
        Some(reports.server_loads.estimate(now, &own, receiver, others))
    }

    /// Applies the unanswered requests of the other instances as of `at`.
    pub fn apply_loads(&self, at: Time, counts: &Counts) {
        for group in self.groups() {
            group.on_loads(at, counts);
        }
    }

    /// Returns the peer address of another live instance.
    pub fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        lock(&self.members).get(name).copied()
    }

    /// Updates the other live instances; returns whether any address changed.
    pub fn on_members(&self, live: &BTreeMap<Arc<str>, Holder>) -> bool {
        self.on_zone_members(live);
        let mut known = lock(&self.members);
        let addresses = || live.iter().map(|(name, live)| (name, &live.address));
        if known.iter().eq(addresses()) {
            return false;
        }
        for name in known.keys().filter(|name| !live.contains_key(*name)) {
            log::info!("event=member-lost member={name}");
        }
        let new: Vec<_> = addresses()
            .filter(|(name, address)| known.get(*name) != Some(*address))
            .collect();
        if new.len() > NEW_MEMBERS_LOGGED_MAX {
            log::info!("event=members-known new={} all={}", new.len(), live.len());
        } else {
            for (name, address) in new {
                log::info!("event=member-known member={name} address={address}");
            }
        }
        *known = addresses()
            .map(|(name, address)| (Arc::clone(name), *address))
            .collect();
        lock(&self.pollers).clear();
        true
    }

    /// Updates the instances of the zone to which statements may be forwarded.
    fn on_zone_members(&self, live: &BTreeMap<Arc<str>, Holder>) {
        if !self.options.is_forwarding {
            return;
        }
        let neighbours = live
            .iter()
            .filter(|(_, holder)| holder.zone.as_ref() == Some(&self.options.zone))
            .map(|(name, holder)| (Arc::clone(name), holder.address))
            .collect();
        if lock(&self.forwarder.router).on_members(&neighbours) {
            self.forwarder.changed.notify_one();
        }
    }

    /// Returns the instances that read the store for all others.
    pub fn pollers(&self, topic: Topic) -> Arc<Vec<Arc<str>>> {
        let members = lock(&self.members);
        let mut pollers = lock(&self.pollers);
        let ranked = pollers.entry(topic).or_insert_with(|| {
            let names = members.keys().chain([&self.options.name]);
            Arc::new(confirmation::rank_pollers(topic, names))
        });
        Arc::clone(ranked)
    }

    /// Applies a revision unless it is as old as the current one or older.
    pub fn apply(&self, revision: Revision) {
        if revision.number <= self.revision().number {
            return;
        }
        log::info!(
            "event=settings-applied revision={} routes={} accounts={}",
            revision.number,
            revision.routes.len(),
            revision.accounts.len()
        );
        let revision = Arc::new(revision);
        *lock(&self.revision) = Arc::clone(&revision);
        self.apply_keys(&revision);
        let limits = revision
            .accounts
            .iter()
            .map(|(name, account)| (Arc::clone(name), account.limit))
            .collect();
        lock(&self.limiter).on_settings(self.now(), revision.number, &limits);
        self.apply_groups(&revision);
        self.applied.notify_waiters();
    }

    /// Returns the number by which instances confirm the settings and evacuations to each other.
    pub fn confirmation_number(&self) -> u64 {
        lock(&self.evacuations).number(self.revision().number)
    }

    /// Applies changes of the evacuations, which the reply with the store's `version` brought.
    pub fn on_evacuations(&self, version: u64, transitions: &[Transition]) {
        if transitions.is_empty() {
            return;
        }
        for Transition { zone, is_evacuated } in transitions {
            let event = match is_evacuated {
                true => "zone-evacuated",
                false => "evacuation-ended",
            };
            log::info!(
                "event={event} zone={zone} version={} era={}",
                store::version::number(version),
                store::version::era(version)
            );
        }
        let count = lock(&self.evacuations).count();
        // CAST: a deployment has few zones.
        self.metrics.zones_evacuated.set(count as i64);
        for group in self.groups() {
            group.changed.notify_waiters();
        }
        self.evacuations_changed.notify_waiters();
    }

    /// Waits until the first settings are applied.
    pub async fn wait_for_settings(&self) {
        loop {
            let applied = self.applied.notified();
            if self.revision().number > 0 {
                return;
            }
            applied.await;
        }
    }

    /// Updates a server's entry, `None` once it was removed.
    pub fn on_entry(&self, name: &Arc<str>, entry: Option<Server>) {
        match entry.clone() {
            Some(entry) => lock(&self.entries).insert(Arc::clone(name), entry),
            None => lock(&self.entries).remove(name),
        };
        for group in self.groups() {
            let entry = entry.clone().filter(|entry| entry.group == group.name);
            if entry.is_some() || group.server(name).is_some() {
                group.on_entry(name, entry);
            }
        }
        self.share_connections();
    }

    /// Returns the names of all server entries.
    pub fn entry_names(&self) -> Vec<Arc<str>> {
        lock(&self.entries).keys().cloned().collect()
    }

    /// Divides each server's connections among the live instances.
    ///
    /// The shares stay unchanged while the table doesn't answer, since it lists the live instances.
    pub fn share_connections(&self) {
        let now = self.now();
        let last_read = lock(&self.limiter).last_read();
        if last_read.is_none_or(|last_read| now >= last_read + MEMBERS_MAX_AGE) {
            return;
        }
        let others: Vec<Arc<str>> = self.peer_addresses().into_keys().collect();
        let turn = self.turn(&others);
        let own = lock(&self.load).per_second();
        let accounts = self.revision().accounts.len();
        for group in self.groups() {
            let max_connections = lock(&group.settings).max_connections;
            let total = max_connections.saturating_sub(SPARE_CONNECTIONS);
            let share = lock(&self.shares).share(now, own, &others, total);
            group.set_connection_share(now, share, total);
            group.set_turn(turn);
            let is_forwarded = self.options.is_forwarding && share.is_below(accounts);
            lock(&self.forwarder.router).on_share(&group.name, is_forwarded);
        }
    }

    /// Returns this instance's place among all live instances in the order of their names.
    fn turn(&self, others: &[Arc<str>]) -> Turn {
        let name = &self.options.name;
        let mut others: Vec<&Arc<str>> = others.iter().filter(|other| *other != name).collect();
        others.sort();
        // CAST: a fleet has few instances.
        Turn {
            place: others.partition_point(|other| *other < name) as u64,
            instances: others.len() as u64 + 1,
        }
    }

    /// Updates the numbers of servers by their state in the placement of reads.
    pub fn count_servers(&self) {
        let now = self.now();
        let groups = self.groups();
        let states = groups.iter().flat_map(|group| group.review_servers(now));
        self.metrics.set_servers(states);
    }

    /// Sends this instance's load to the others if it is due, and divides the connections again.
    pub async fn report_load(&self) {
        let load = {
            let mut load = lock(&self.load);
            load.step(self.metrics.statements_run());
            load.report()
        };
        let is_large = lock(&self.members).len() >= REPORTED_FLEET_MIN;
        if let Some(load) = load.filter(|_| !is_large) {
            for address in self.peer_addresses().into_values() {
                self.peers.send(self, address, Payload::Load(load)).await;
            }
        }
        self.share_connections();
    }

    /// Returns the account of a caller with this key at a database.
    pub fn login(&self, database: &str, key: &str) -> Result<Arc<str>, Failure> {
        let route = self.route(database)?;
        let revision = self.revision();
        match revision.owner(key) {
            Some(account) => Ok(Arc::clone(account)),
            None if route.is_public => Ok(Arc::from("public")),
            None => Err(Failure::new(Code::NoAccess, "the key is not in force")),
        }
    }

    /// Returns the current route of a database.
    pub fn route(&self, database: &str) -> Result<Arc<Route>, Failure> {
        let revision = self.revision();
        let route = revision.routes.get(database);
        route.cloned().ok_or_else(|| self.unknown_database())
    }

    /// Returns the failure for a database without a route.
    pub fn unknown_database(&self) -> Failure {
        Failure::new(Code::UnknownDatabase, "no route serves the database")
    }

    /// Checks whether a key is valid for a statement now.
    pub fn check_key(&self, account: &str, key: &str, route: &Route) -> Result<(), Failure> {
        if route.is_public {
            return Ok(());
        }
        match lock(&self.keyring).check(self.now(), account, key) {
            KeyDecision::Run => Ok(()),
            KeyDecision::Withdrawn => Err(Failure::new(
                Code::NoAccess,
                "the key is not in force any more",
            )),
            KeyDecision::Unknown => {
                self.key_unknown.notify_one();
                let why = "it is not known whether the key is in force";
                Err(Failure::not_run(why, self.options.retry_after))
            }
        }
    }

    /// Checks the key again right before a statement is sent, since the statement may have queued.
    pub fn recheck_key(&self, job: &Job<'_>) -> Option<Failure> {
        self.check_key(job.account, job.key, job.route).err()
    }

    /// Takes a token from an account's rate limit for the request `id`.
    ///
    /// It waits at most a quarter of the route's target, and only while a token is expected by then.
    pub async fn take_token(&self, account: &str, id: &str, route: &Route) -> Result<(), Failure> {
        let arrived = self.now();
        let mut attempt = Attempt {
            cost: 1,
            arrived,
            is_first: true,
            deadline: arrived + Span::from_micros(route.target_latency.as_micros() / 4),
            salt: schedule::salt(id),
        };
        loop {
            let now = self.now();
            let decision = lock(&self.limiter).admit_by(now, account, &attempt);
            match decision {
                Decision::Run => return Ok(()),
                Decision::Refuse { retry_after } => {
                    self.metrics.refused(Reason::Rate);
                    let why = "the account's rate is used up";
                    return Err(Failure::not_run(why, retry_after));
                }
                Decision::Wait { until } => {
                    attempt.is_first = false;
                    if lock(&self.limiter).is_urgent() {
                        self.limiter_due.notify_one();
                    }
                    let wait: Duration = until.since(now).into();
                    // Tokens may arrive earlier than expected.
                    let _elapsed =
                        tokio::time::timeout(wait, self.tokens_received.notified()).await;
                }
            }
        }
    }

    /// Returns all metrics as OpenMetrics text.
    pub fn metrics_text(&self) -> String {
        let groups = self.groups();
        let servers = groups.iter().flat_map(|group| group.servers());
        let waiting: usize = servers.map(|server| server.pool.queue_len()).sum();
        let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
        self.metrics.waiting.set(waiting);
        self.metrics.text()
    }

    fn apply_keys(&self, revision: &Revision) {
        let keys: Keys<()> = revision
            .accounts
            .iter()
            .map(|(name, account)| {
                let keys = account
                    .keys
                    .iter()
                    .map(|key| (Arc::clone(key), ()))
                    .collect();
                (Arc::clone(name), keys)
            })
            .collect();
        let policy = key_policy(&self.options);
        lock(&self.keyring).on_settings(revision.number, policy, keys);
    }

    fn apply_groups(&self, revision: &Revision) {
        for (name, settings) in &revision.groups {
            if let Some(group) = self.group(name) {
                *lock(&group.settings) = settings.clone();
                continue;
            }
            let group = Group::open(
                name,
                settings.clone(),
                &self.options,
                Arc::clone(&self.dependencies.connector),
                Arc::clone(&self.dependencies.clock),
                Arc::clone(&self.evacuations),
            );
            lock(&self.groups).insert(Arc::clone(name), Arc::clone(&group));
            self.leader_appointed.notify_one();
            let entries = lock(&self.entries).clone();
            for (server, entry) in entries {
                if entry.group == *name {
                    group.on_entry(&server, Some(entry));
                }
            }
        }
        self.share_connections();
    }
}

/// Returns the policy for keys whose validity is unknown.
fn key_policy(options: &Options) -> KeyPolicy {
    match options.key_grace {
        Some(grace) => KeyPolicy {
            fallback: Fallback::Refuse,
            grace,
        },
        None => KeyPolicy {
            fallback: Fallback::Serve,
            ..KeyPolicy::default()
        },
    }
}

/// Locks a mutex, ignoring poison: its state stays consistent even if a holder panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
