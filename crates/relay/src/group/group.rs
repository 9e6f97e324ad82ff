//! One database group as seen by one instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use clock::Clock;
use clock::Span;
use clock::Time;
use endpoint::Position;
use endpoint::Role;
use rand::Rng;
use tokio::sync::Notify;

use crate::balance::Average;
use crate::balance::Balance;
use crate::balance::Candidate;
use crate::balance::Counts;
use crate::balance::LOADS_AGE_MAX;
use crate::balance::LOADS_HALF_LIFE;
use crate::balance::State;
use crate::balance::Summary;
use crate::evacuation::Evacuations;
use crate::external::Connector;
use crate::external::Target;
use crate::failover::Bound;
use crate::failover::Departed;
use crate::failover::Departures;
use crate::failover::Detector;
use crate::failover::Recheck;
use crate::group::Acknowledgement;
use crate::group::Appointment;
use crate::group::Health;
use crate::group::LastCommit;
use crate::group::LeaderLease;
use crate::group::Leadership;
use crate::group::Proof;
use crate::group::Server;
use crate::node::Fencing;
use crate::node::Options;
use crate::node::Share;
use crate::node::lock;
use crate::pool::Pool;
use crate::settings;
use crate::warmup::Allowance;
use crate::warmup::Pace;
use crate::warmup::Turn;
use crate::warmup::Warmup;

/// How long a removed server is taken to run and confirm commits, since its entry may only have expired
/// because it doesn't reach the store. One that is not back by then is taken to have stopped when it
/// was removed.
const REMOVED_RETENTION: Span = Span::from_secs(30);

/// A statement is sent, queued and received, and the report of a leaving server reaches this
/// instance, within this time.
const DRAIN_MARGIN: Span = Span::from_millis(500);

/// A leader that has not replied to this instance for this long is probed by it.
const LEADER_SILENCE: Span = Span::from_millis(300);
/// Concurrent statements that all instances together send to a server per slot: some run, the
/// others are queued so that no slot falls idle.
const STATEMENTS_PER_SLOT: usize = 4;
/// Concurrent statements that an instance may always send to a server.
const STATEMENTS_MIN: usize = 2;

/// A server whose entry was removed from the store or expired, or an earlier run of a server that
/// started again: the new run need not hold what the earlier one confirmed.
///
/// It counts as a possible holder of commits until a commit is acknowledged that was sent after it was
/// gone, since the servers that confirmed that one hold every earlier one too. Time alone doesn't end
/// that: in a group without a primary nothing is acknowledged, however long that lasts.
#[derive(Clone, Debug)]
struct Removed {
    /// When this instance learned of the removal.
    at: Time,
    /// Its last entry, if this instance has seen one.
    entry: Option<settings::Server>,
    /// When this run of it started, if that is known.
    born: Option<u64>,
    /// When it was found to have stopped for good.
    stopped: Option<Time>,
}

impl Removed {
    /// Returns from when on it confirms no more commits.
    fn gone(&self, now: Time) -> Time {
        let retained_until = self.at + REMOVED_RETENTION;
        let presumed = match now < retained_until {
            true => retained_until,
            false => self.at,
        };
        self.stopped.unwrap_or(presumed)
    }
}

/// The name under which the primary counts as a possible holder of commits while it is not known which
/// server that is.
pub const UNKNOWN_PRIMARY: &str = "@";

/// Returns the name under which an earlier run of a server counts as a possible holder of commits.
fn run_name(server: &str, born: u64) -> Arc<str> {
    Arc::from(format!("{server}@{born}"))
}

/// Returns whether a name is that of an earlier run of a server.
fn is_run_name(name: &str) -> bool {
    name.rsplit_once('@')
        .is_some_and(|(server, born)| !server.is_empty() && born.parse::<u64>().is_ok())
}

/// One database group.
pub struct Group {
    /// The group's name.
    pub name: Arc<str>,
    /// The settings in force for the group.
    pub settings: Mutex<settings::Group>,
    /// What is known of its leader.
    pub leadership: Mutex<Leadership>,
    /// The lease under which this instance relies on the leader.
    leader_lease: Mutex<LeaderLease>,
    /// Whether a replaced primary refuses statements by itself.
    fencing: Fencing,
    /// How long new statements may reach a server after it has reported that it leaves.
    drain_bound: Option<Span>,
    /// Its servers, by id.
    servers: Mutex<BTreeMap<Arc<str>, Arc<Server>>>,
    /// The server that was proven to lead last, and when that run of it started.
    led: Mutex<Option<(Arc<str>, u64)>>,
    /// Whether another instance's list of holders was added, which has the primary.
    has_restored_holders: AtomicBool,
    /// When the latest commit was sent that is known to have been acknowledged, also by other instances.
    committed_at: Mutex<Time>,
    /// The commit that this instance acknowledged last.
    last_commit: Mutex<Option<LastCommit>>,
    /// Servers whose entries were removed, by id, and earlier runs of servers, by `run_name`; they may
    /// still hold commits.
    removed: Mutex<BTreeMap<Arc<str>, Removed>>,
    /// Chooses the servers for reads.
    balance: Mutex<Balance>,
    /// Unanswered requests of other instances by server, and as of when they were reported last.
    loads: Mutex<(BTreeMap<Arc<str>, Average>, Time)>,
    /// Whether there are too few connections for every instance to keep some.
    is_scarce: AtomicBool,
    /// Notified when the leader or the servers change.
    pub changed: Notify,
    /// Decides when the leader must be replaced.
    pub detector: Mutex<Detector>,
    /// Schedules checks for unfinished failovers.
    pub recheck: Mutex<Recheck>,
    /// The state of the row of departed servers.
    pub departures: Mutex<Departures>,
    /// Whether other instances may reach the leader while this one doesn't.
    pub is_leader_unreachable: AtomicBool,
    /// This instance's replacements of the leader in succession that ended without a result.
    pub unsuccessful_replacements: Mutex<u32>,
    /// Whether this instance is running a failover.
    pub is_in_failover: AtomicBool,
    connector: Arc<dyn Connector>,
    clock: Arc<dyn Clock>,
    evacuations: Arc<Mutex<Evacuations>>,
    /// How far requests to cold servers may exceed their rate.
    warmup_allowance: Allowance,
    /// This instance's turn in sending requests to cold servers.
    turn: Mutex<Turn>,
}

impl Group {
    /// Opens a group without servers.
    pub fn open(
        name: &Arc<str>,
        settings: settings::Group,
        options: &Options,
        connector: Arc<dyn Connector>,
        clock: Arc<dyn Clock>,
        evacuations: Arc<Mutex<Evacuations>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            name: Arc::clone(name),
            settings: Mutex::new(settings),
            leadership: Mutex::default(),
            leader_lease: Mutex::default(),
            fencing: options.fencing,
            drain_bound: options.drain_bound,
            servers: Mutex::default(),
            led: Mutex::default(),
            has_restored_holders: AtomicBool::new(false),
            committed_at: Mutex::default(),
            last_commit: Mutex::default(),
            removed: Mutex::default(),
            balance: Mutex::default(),
            loads: Mutex::default(),
            is_scarce: AtomicBool::new(false),
            changed: Notify::new(),
            detector: Mutex::default(),
            recheck: Mutex::default(),
            departures: Mutex::default(),
            is_leader_unreachable: AtomicBool::new(false),
            unsuccessful_replacements: Mutex::default(),
            is_in_failover: AtomicBool::new(false),
            connector,
            clock,
            evacuations,
            warmup_allowance: options.warmup_allowance,
            turn: Mutex::default(),
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

    /// Sets this instance's turn in sending requests to cold servers.
    pub fn set_turn(&self, turn: Turn) {
        *lock(&self.turn) = turn;
    }

    /// Returns whether a server is warm or this instance may send it a request now.
    pub fn may_send(&self, server: &Server) -> bool {
        let Some(pace) = self.cold_pace(server) else {
            return true;
        };
        let turn = *lock(&self.turn);
        lock(&server.warmup).may_send(self.clock.wall_ms(), pace, turn)
    }

    /// Counts a request that is about to be sent to a server; returns false if the server is cold
    /// and it isn't this instance's turn.
    pub fn on_send(&self, server: &Server) -> bool {
        let Some(pace) = self.cold_pace(server) else {
            return true;
        };
        let turn = *lock(&self.turn);
        lock(&server.warmup).on_send(self.clock.wall_ms(), pace, turn)
    }

    /// Returns whether a server is cold and its requests are limited.
    pub fn is_cold(&self, server: &Server) -> bool {
        self.cold_pace(server).is_some()
    }

    /// Returns the pace of requests to a server; `None` if it is warm.
    fn cold_pace(&self, server: &Server) -> Option<Pace> {
        let (duration, rate_milli) = {
            let settings = lock(&self.settings);
            (settings.warmup, settings.warmup_rate_milli)
        };
        if duration == Span::ZERO {
            return None;
        }
        let now = self.clock.now();
        let ended = server.evacuation_ended();
        let is_cold = lock(&server.warmup).is_cold(now, ended, duration);
        let pace = is_cold.then(|| Pace::open(rate_milli, self.warmup_allowance));
        pace.flatten()
    }

    /// Returns the warm-up of a server that this instance has not seen since its start.
    fn warmup_since_start(&self, entry: &settings::Server) -> Warmup {
        let duration = lock(&self.settings).warmup;
        let age = Span::from_millis(self.clock.wall_ms().saturating_sub(entry.born));
        let left = duration.as_micros().saturating_sub(age.as_micros());
        let mut warmup = Warmup::default();
        let now = self.clock.now();
        warmup.on_cold(now, Span::from_micros(left));
        if duration > Span::ZERO {
            warmup.on_cold(now, Span::from_millis(entry.warmup_left_ms));
        }
        warmup
    }

    /// Returns whether all servers, of which there is at least one, are in evacuated zones.
    pub fn is_evacuated(&self) -> bool {
        if lock(&self.evacuations).count() == 0 {
            return false;
        }
        let servers = self.servers();
        !servers.is_empty() && servers.iter().all(|server| server.is_evacuated())
    }

    /// Returns the leader.
    pub fn leader(&self) -> Option<Arc<Server>> {
        let name = lock(&self.leadership).server().cloned()?;
        self.server(&name)
    }

    /// Applies a server's entry; `None` removes the server.
    pub fn on_entry(&self, name: &Arc<str>, entry: Option<settings::Server>) {
        let Some(entry) = entry else {
            self.remove(name);
            return;
        };
        self.on_registered_again(name, entry.born);
        self.remove_replaced(name, &entry);
        let known = self.server(name);
        if let Some(server) = known {
            let mut current = lock(&server.entry);
            if current.born == entry.born && current.address == entry.address {
                let was_draining = current.is_draining;
                if entry.is_draining && !was_draining {
                    log::info!("event=server-draining group={} server={name}", self.name);
                    *lock(&server.drain_deadline) = self.drain_deadline();
                }
                let left = Span::from_millis(entry.warmup_left_ms);
                *current = entry;
                drop(current);
                lock(&server.warmup).on_cold(self.clock.now(), left);
                self.changed.notify_waiters();
                return;
            }
            let former = current.born;
            drop(current);
            server.pool.close();
            if former != entry.born {
                self.on_restarted(name, former);
            }
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
        let warmup = self.warmup_since_start(&entry);
        // It is not known for how long a server has been leaving that is seen for the first time.
        let is_leaving = entry.is_draining && self.drain_bound.is_some();
        let server = Server {
            name: Arc::clone(name),
            drain_deadline: Mutex::new(is_leaving.then(|| self.clock.now())),
            warmup: Mutex::new(warmup),
            entry: Mutex::new(entry),
            health,
            pool,
            evacuations: Arc::clone(&self.evacuations),
        };
        lock(&self.servers).insert(Arc::clone(name), Arc::new(server));
        self.changed.notify_waiters();
    }

    /// Returns the time until which a server that has just reported that it leaves gets new statements.
    fn drain_deadline(&self) -> Option<Time> {
        let span = self.drain_bound?.as_micros();
        let span = span.saturating_sub(DRAIN_MARGIN.as_micros());
        Some(self.clock.now() + Span::from_micros(span))
    }

    /// Limits this instance to its share of the `total` connections to each server, and its
    /// concurrent statements in proportion.
    pub fn set_connection_share(&self, now: Time, share: Share, total: usize) {
        self.is_scarce.store(share.is_scarce(), Ordering::Relaxed);
        for server in self.servers() {
            let slots = lock(&server.entry).slots;
            // An entry may state any number of slots.
            let statements = slots
                .saturating_mul(STATEMENTS_PER_SLOT)
                .saturating_mul(share.connections())
                .div_ceil(total.max(1))
                .max(STATEMENTS_MIN);
            server.pool.set_share(now, share, statements);
        }
    }

    /// Returns the ids of all servers, and the names of earlier runs, that may hold acknowledged commits.
    pub fn commit_holders(&self) -> BTreeSet<Arc<str>> {
        let mut holders: BTreeSet<Arc<str>> = lock(&self.servers).keys().cloned().collect();
        let now = self.clock.now();
        let is_replicated = self.has_replicated_commits();
        let mut removed = lock(&self.removed);
        // Where commits are not replicated, a lost primary may take some with it, so it blocks a
        // replacement only for a while.
        removed.retain(|name, server| {
            let is_kept = is_replicated || now < server.at + REMOVED_RETENTION;
            if !is_kept {
                self.log_dropped(name, "retention");
            }
            is_kept
        });
        drop(removed);
        self.drop_holders();
        holders.extend(lock(&self.removed).keys().cloned());
        if is_replicated && !self.knows_primary() {
            // Each commit that was acknowledged before this instance started is in its log.
            holders.insert(Arc::from(UNKNOWN_PRIMARY));
        }
        holders
    }

    /// Returns whether the primary, or the last one, is among the known holders.
    fn knows_primary(&self) -> bool {
        let is_primary = |entry: &settings::Server| entry.role == Role::Primary;
        let is_registered = lock(&self.servers)
            .values()
            .any(|server| is_primary(&lock(&server.entry)));
        let was_registered = lock(&self.removed)
            .values()
            .any(|server| server.entry.as_ref().is_some_and(is_primary));
        let has_restored = self.has_restored_holders.load(Ordering::Relaxed);
        is_registered || was_registered || has_restored || lock(&self.led).is_some()
    }

    /// Returns the possible holders of commits that are gone, each with a position that the primary's
    /// log reached afterwards. A log that reaches it has every commit that such a server confirmed.
    pub fn covered_holders(&self) -> BTreeMap<Arc<str>, Position> {
        let now = self.clock.now();
        let leadership = lock(&self.leadership);
        lock(&self.removed)
            .iter()
            .filter_map(|(name, server)| {
                let position = leadership.floor(server.gone(now))?;
                Some((Arc::clone(name), position))
            })
            .collect()
    }

    /// Applies that a commit which another instance sent at `sent` or later was acknowledged.
    pub fn on_commit_elsewhere(&self, sent: Time) {
        self.on_committed(sent);
    }

    fn on_committed(&self, sent: Time) {
        let mut committed_at = lock(&self.committed_at);
        *committed_at = committed_at.max(sent);
        drop(committed_at);
        self.drop_holders();
    }

    /// Drops servers that were gone before the latest acknowledged commit was sent: the servers that
    /// confirmed it hold every earlier commit too.
    fn drop_holders(&self) {
        let now = self.clock.now();
        let committed_at = *lock(&self.committed_at);
        lock(&self.removed).retain(|name, server| {
            let is_kept = committed_at <= server.gone(now);
            if !is_kept {
                self.log_dropped(name, "later-commit");
            }
            is_kept
        });
    }

    /// Applies that a server is registered, whose entry may have been missing.
    fn on_registered_again(&self, name: &Arc<str>, born: u64) {
        let former = lock(&self.removed).remove(name);
        let former = former.and_then(|former| former.born);
        if let Some(former) = former.filter(|former| *former != born) {
            self.on_restarted(name, former);
        }
    }

    /// Counts the ended run of a server that started again as a possible holder of commits, and as no
    /// leader.
    fn on_restarted(&self, name: &Arc<str>, born: u64) {
        log::info!(
            "event=server-restarted group={} server={name} former={born}",
            self.name
        );
        self.on_not_leader(name);
        self.add_former_run(name, born);
    }

    /// Counts the ended run of a server as a possible holder of commits.
    fn add_former_run(&self, name: &Arc<str>, born: u64) {
        if !self.has_replicated_commits() {
            return;
        }
        let now = self.clock.now();
        let former = Removed {
            at: now,
            entry: None,
            born: Some(born),
            stopped: Some(now),
        };
        lock(&self.removed)
            .entry(run_name(name, born))
            .or_insert(former);
    }

    /// Returns the departed servers that still count as possible holders of commits.
    pub fn departed(&self, now: Time) -> Departed {
        lock(&self.removed)
            .iter()
            .filter(|(_, server)| now < server.at + REMOVED_RETENTION)
            .filter_map(|(name, server)| Some((Arc::clone(name), server.entry.clone()?)))
            .filter(|(_, entry)| entry.is_draining)
            .collect()
    }

    /// Returns the departed servers that are not known to have stopped.
    ///
    /// Such a server may only be cut off from the store and still acknowledge commits.
    pub fn unconfirmed_departures(&self) -> Departed {
        let mut departed = self.departed(self.clock.now());
        let removed = lock(&self.removed);
        departed.retain(|name, _| {
            removed
                .get(name)
                .is_some_and(|server| server.stopped.is_none())
        });
        departed
    }

    /// Adds departed servers that were recorded before this instance started.
    pub fn restore_departed(&self, departed: Departed) {
        let at = self.clock.now();
        let servers = lock(&self.servers);
        let mut removed = lock(&self.removed);
        for (name, entry) in departed {
            let is_known = servers.iter().any(|(known, server)| {
                *known == name || lock(&server.entry).address == entry.address
            });
            if is_known {
                continue;
            }
            log::info!("event=departed-restored group={} server={name}", self.name);
            removed.entry(name).or_insert(Removed {
                at,
                born: Some(entry.born),
                entry: Some(entry),
                stopped: None,
            });
        }
    }

    /// Returns when the current runs of the servers started, by id.
    pub fn runs(&self) -> BTreeMap<Arc<str>, u64> {
        let servers = self.servers();
        let runs = servers.iter();
        runs.map(|server| (Arc::clone(&server.name), server.born()))
            .collect()
    }

    /// Adds servers that another instance listed as possible holders of commits; `runs` are the starts of
    /// those that it knew.
    pub fn restore_holders(&self, names: &BTreeSet<Arc<str>>, runs: &BTreeMap<Arc<str>, u64>) {
        for server in self.servers() {
            let former = runs.get(&server.name).copied();
            // A later start than this instance knows is no earlier run.
            if let Some(former) = former.filter(|former| *former < server.born()) {
                self.add_former_run(&server.name, former);
            }
        }
        if !names.is_empty() && !names.contains(UNKNOWN_PRIMARY) {
            self.has_restored_holders.store(true, Ordering::Relaxed);
        }
        let at = self.clock.now();
        let servers = lock(&self.servers);
        let mut removed = lock(&self.removed);
        let is_removed =
            |name: &Arc<str>| !servers.contains_key(name) && **name != *UNKNOWN_PRIMARY;
        for name in names.iter().filter(|name| is_removed(name)) {
            removed.entry(Arc::clone(name)).or_insert(Removed {
                at,
                entry: None,
                born: runs.get(name).copied(),
                // A former run has ended.
                stopped: is_run_name(name).then_some(at),
            });
        }
    }

    /// Records that a departed server has stopped.
    ///
    /// Commits that only it and the primary held may still be missing elsewhere, so it counts as
    /// a possible holder until a later commit is acknowledged without it.
    pub fn on_departure_confirmed(&self, name: &str) {
        if let Some(server) = lock(&self.removed).get_mut(name) {
            server.stopped = Some(self.clock.now());
            log::info!("event=server-left group={} server={name}", self.name);
        }
    }

    /// Returns all servers, those first whose entries say that they are primary.
    pub fn leader_candidates(&self) -> Vec<Arc<Server>> {
        let (mut first, rest): (Vec<_>, Vec<_>) = self
            .servers()
            .into_iter()
            .partition(|server| lock(&server.entry).role == Role::Primary);
        first.extend(rest);
        first
    }

    /// Chooses a server for a read that needs `floor`, leaving out those in `tried`.
    pub fn choose_reader(
        &self,
        now: Time,
        floor: Position,
        account: &str,
        zone: &str,
        tried: &BTreeSet<Arc<str>>,
        random: &mut impl Rng,
    ) -> Option<Arc<Server>> {
        let leader = lock(&self.leadership).server().cloned();
        self.review_servers(now);
        let mut servers: Vec<Arc<Server>> = self
            .servers()
            .into_iter()
            .filter(|server| !tried.contains(&server.name) && !server.is_draining())
            .filter(|server| !server.is_evacuated() && self.may_send(server))
            .filter(|server| lock(&server.health).can_serve(now, floor))
            .collect();
        let candidates: Vec<Candidate> = servers
            .iter()
            .map(|server| self.candidate(now, server, leader.as_ref(), account, zone))
            .collect();
        let is_scarce = self.is_scarce.load(Ordering::Relaxed);
        let index = lock(&self.balance).choose(&candidates, is_scarce, random)?;
        Some(servers.swap_remove(index))
    }

    fn candidate(
        &self,
        now: Time,
        server: &Server,
        leader: Option<&Arc<str>>,
        account: &str,
        zone: &str,
    ) -> Candidate {
        let (summary, unanswered, writes) = {
            let health = lock(&server.health);
            (
                health.record.summary(now),
                health.outstanding_batches(),
                health.outstanding_commits(),
            )
        };
        // A guard in the expression below would last until its end, and `zone` locks the entry too.
        let slots = lock(&server.entry).slots;
        Candidate {
            server: Arc::clone(&server.name),
            summary,
            waiting: unanswered + server.pool.queue_len(),
            elsewhere: self.elsewhere(now, &server.name),
            writes,
            slots,
            has_idle: server.pool.has_idle(account),
            is_far: *server.zone() != *zone,
            is_leader: leader == Some(&server.name),
        }
    }

    /// Returns this instance's unanswered requests by server; `None` where connections are not
    /// scarce, as reports would cost more there than they tell.
    pub fn loads(&self) -> Option<Counts> {
        if !self.is_scarce.load(Ordering::Relaxed) {
            return None;
        }
        let count = |server: Arc<Server>| {
            let unanswered = lock(&server.health).outstanding_batches();
            let key = (Arc::clone(&self.name), Arc::clone(&server.name));
            (key, u32::try_from(unanswered).unwrap_or(u32::MAX))
        };
        Some(self.servers().into_iter().map(count).collect())
    }

    /// Applies the unanswered requests of other instances as of `at`.
    pub fn on_loads(&self, at: Time, counts: &Counts) {
        let servers = self.servers();
        let mut loads = lock(&self.loads);
        loads.1 = loads.1.max(at);
        loads
            .0
            .retain(|name, _| servers.iter().any(|server| server.name == *name));
        for server in servers {
            let key = (Arc::clone(&self.name), Arc::clone(&server.name));
            let count = counts.get(&key).copied().unwrap_or_default();
            let average = loads.0.entry(Arc::clone(&server.name)).or_default();
            average.add(at, LOADS_HALF_LIFE, f64::from(count));
        }
    }

    /// Returns the mean of the unanswered requests of other instances at a server, zero without a
    /// fresh report.
    fn elsewhere(&self, now: Time, server: &str) -> f64 {
        let loads = lock(&self.loads);
        let (averages, at) = &*loads;
        let average = averages.get(server).filter(|_| now < *at + LOADS_AGE_MAX);
        average.and_then(Average::sample_mean).unwrap_or_default()
    }

    /// Compares the servers, logs those whose state in the placement of reads changes, and returns
    /// the states.
    pub fn review_servers(&self, now: Time) -> Vec<State> {
        let summaries: BTreeMap<Arc<str>, Summary> = self
            .servers()
            .into_iter()
            .map(|server| {
                let summary = lock(&server.health).record.summary(now);
                (Arc::clone(&server.name), summary)
            })
            .collect();
        let mut balance = lock(&self.balance);
        for change in balance.review(now, &summaries) {
            let event = match change.state {
                State::Normal => "server-recovered",
                State::Outlier => "server-outlier",
                State::Recovering => "server-recovering",
            };
            log::info!(
                "event={event} group={} server={} failure_rate={:.2} reply_ms={:.0}",
                self.name,
                change.server,
                change.summary.failure_rate,
                change.summary.reply_ms
            );
        }
        summaries.keys().map(|name| balance.state(name)).collect()
    }

    /// Applies a reply that only a leader can give, to a request sent at `sent`.
    ///
    /// Returns whether the server was the only leader when it replied.
    pub fn on_proof(&self, sent: Time, server: &Arc<str>, position: Position) -> bool {
        if !self.admits(server) {
            return false;
        }
        let is_only_leader = self.has_proof_of_leadership();
        let proof = self.proof(sent, position);
        let is_new = {
            let mut leadership = lock(&self.leadership);
            if is_only_leader {
                leadership.on_proof(server, proof)
            } else {
                leadership.on_claim(server, proof)
            }
        };
        if is_only_leader {
            self.on_led(server);
        }
        self.is_leader_unreachable.store(false, Ordering::Relaxed);
        if is_new {
            log::info!(
                "event=leader-known group={} server={server} position={position}",
                self.name
            );
            self.changed.notify_waiters();
        }
        is_only_leader
    }

    /// Returns the proof in a reply of the leader to a request sent at `sent`.
    fn proof(&self, sent: Time, position: Position) -> Proof {
        let is_unchecked = self.fencing == Fencing::Unchecked;
        Proof {
            sent,
            received: self.clock.now(),
            position,
            reign: is_unchecked.then(|| lock(&self.leader_lease).reign()),
        }
    }

    /// Applies a leader's position that another instance obtained by a request sent at `sent`.
    pub fn on_report(&self, sent: Time, server: &Arc<str>, position: Position) {
        if !self.admits(server) || self.has_silent_leader() {
            return;
        }
        let proof = self.proof(sent, position);
        let is_new = lock(&self.leadership).on_proof(server, proof);
        self.on_led(server);
        if is_new {
            log::info!(
                "event=leader-reported group={} server={server} position={position}",
                self.name
            );
            self.changed.notify_waiters();
        }
    }

    /// Records which run of the leader was proven to lead.
    fn on_led(&self, server: &Arc<str>) {
        if lock(&self.leadership).server() != Some(server) {
            // The proof was late.
            return;
        }
        let Some(born) = self.server(server).map(|server| server.born()) else {
            return;
        };
        let mut led = lock(&self.led);
        let is_known = led
            .as_ref()
            .is_some_and(|(name, since)| name == server && *since == born);
        if !is_known {
            *led = Some((Arc::clone(server), born));
        }
    }

    /// Returns whether this run of a server was proven to lead, and no other one since.
    pub fn has_led(&self, server: &Server) -> bool {
        let led = lock(&self.led);
        led.as_ref()
            .is_some_and(|(name, born)| *name == server.name && *born == server.born())
    }

    /// Returns whether a server started again after it was proven to lead.
    pub fn has_restarted_since_led(&self, server: &Server) -> bool {
        let led = lock(&self.led);
        led.as_ref()
            .is_some_and(|(name, born)| *name == server.name && *born != server.born())
    }

    /// Records that another server may lead than this instance believes.
    pub fn on_other_leader(&self, server: &str) {
        if let Some(leader) = self.leader().filter(|leader| *leader.name != *server) {
            self.on_not_leader(&leader.name);
        }
    }

    /// Returns whether this instance gets no replies from the leader, whatever others report.
    pub fn has_silent_leader(&self) -> bool {
        let now = self.clock.now();
        self.leader().is_some_and(|leader| {
            let health = lock(&leader.health);
            health.failures > 0 || health.is_silent(now, LEADER_SILENCE)
        })
    }

    /// Returns whether a server that acts as primary can be the current one.
    pub fn admits(&self, server: &str) -> bool {
        if self.fencing == Fencing::Enforced {
            return true;
        }
        let address = self
            .server(server)
            .map(|server| lock(&server.entry).address);
        address.is_some_and(|address| lock(&self.leader_lease).admits(address))
    }

    /// Returns whether replies that only a primary gives prove that it leads.
    pub fn has_proof_of_leadership(&self) -> bool {
        self.fencing == Fencing::Enforced || lock(&self.leader_lease).is_held(self.clock.now())
    }

    /// Returns whether this instance can't find out at present who leads.
    pub fn is_leader_unknowable(&self) -> bool {
        self.fencing == Fencing::Unchecked && lock(&self.leader_lease).is_expired(self.clock.now())
    }

    /// Returns the token of the latest replacement of the leader; `None` while one may be under way.
    pub fn replacement_token(&self) -> Option<u64> {
        lock(&self.leader_lease).token()
    }

    /// Returns whether a replacement of the leader is known to be under way, so that commits must
    /// wait for its end.
    pub fn is_replacement_open(&self) -> bool {
        self.has_replicated_commits() && lock(&self.leader_lease).is_replacement_open()
    }

    /// Returns whether a commit at `position` of the server at `address` may be acknowledged; `sent`
    /// was the `replacement_token` when it was sent.
    pub fn acknowledgement(
        &self,
        sent: Option<u64>,
        address: Option<SocketAddr>,
        position: Position,
    ) -> Acknowledgement {
        if !self.has_replicated_commits() {
            return Acknowledgement::Safe;
        }
        let now = self.clock.now();
        lock(&self.leader_lease).acknowledgement(now, sent, address, position)
    }

    /// Returns whether servers acknowledge a commit only once replicas have received it; otherwise
    /// a replacement may lose it in any case.
    fn has_replicated_commits(&self) -> bool {
        lock(&self.settings).sync_replicas > 0
    }

    /// Returns whether the appointment was read from the table.
    pub fn has_read_appointment(&self) -> bool {
        lock(&self.leader_lease).has_read()
    }

    /// Changes the leader lease.
    pub fn change_leader_lease(&self, change: impl FnOnce(&mut LeaderLease)) {
        change(&mut lock(&self.leader_lease));
    }

    /// Applies the appointment that a table call begun at `begun` returned.
    pub fn on_appointment(&self, begun: Time, appointment: Option<Appointment>) {
        if !lock(&self.leader_lease).on_read(begun, appointment) {
            return;
        }
        log::info!(
            "event=leader-appointed group={} appointment=\"{appointment:?}\"",
            self.name
        );
        if appointment.is_some_and(|appointment| !appointment.is_settled) {
            lock(&self.recheck).on_replacement(self.clock.now());
        }
        if let Some(leader) = self.leader().filter(|leader| !self.admits(&leader.name)) {
            self.on_not_leader(&leader.name);
        }
        self.changed.notify_waiters();
    }

    /// Applies a settled appointment that the holder of the replacement has announced.
    pub fn on_appointment_announced(&self, appointment: Appointment) {
        self.change_leader_lease(|lease| lease.on_announced(appointment));
        self.changed.notify_waiters();
    }

    /// Returns the settled appointment that the holder of the replacement with `token` has announced.
    pub fn announced_appointment(&self, token: u64) -> Option<Appointment> {
        lock(&self.leader_lease).announced(token)
    }

    /// Stops relying on the leader for the replacement with `token`.
    pub fn revoke_leader_lease(&self, token: u64) {
        self.change_leader_lease(|lease| lease.revoke(token));
        if let Some(leader) = self.leader().filter(|leader| !self.admits(&leader.name)) {
            self.on_not_leader(&leader.name);
        }
    }

    /// Returns the server at an address.
    pub fn server_at(&self, address: SocketAddr) -> Option<Arc<Server>> {
        let servers = self.servers();
        servers
            .into_iter()
            .find(|server| lock(&server.entry).address == address)
    }

    /// Applies a commit, sent at `sent`, that the leader acknowledged.
    pub fn on_commit(&self, sent: Time, server: &Arc<str>, position: Position) {
        self.on_proof(sent, server, position);
        lock(&self.leadership).on_acknowledged(sent, position);
        let unanswered = self
            .server(server)
            .map_or(0, |server| lock(&server.health).outstanding_commits());
        *lock(&self.last_commit) = Some(LastCommit {
            server: Arc::clone(server),
            acknowledged_at: self.clock.now(),
            unanswered,
        });
        self.on_committed(sent);
    }

    /// Returns the highest position in a reply that acknowledged a commit to this instance.
    pub fn bound(&self) -> Bound {
        let position = lock(&self.leadership).acknowledged();
        let last = self.last_commit();
        Bound::open(position, last.map(|last| last.acknowledged_at))
    }

    /// Returns the commit that this instance acknowledged last.
    pub fn last_commit(&self) -> Option<LastCommit> {
        lock(&self.last_commit).clone()
    }

    /// Logs that a server counts as a possible holder of commits no longer.
    fn log_dropped(&self, server: &str, reason: &str) {
        log::info!(
            "event=holder-dropped group={} server={server} reason={reason}",
            self.name
        );
    }

    /// Records that a server is not the leader.
    pub fn on_not_leader(&self, server: &str) {
        if lock(&self.leadership).on_not_leader(server) {
            log::info!("event=leader-lost group={} server={server}", self.name);
            self.changed.notify_waiters();
        }
    }

    /// Removes servers whose address was taken over by another one, which need not have their logs.
    fn remove_replaced(&self, name: &Arc<str>, entry: &settings::Server) {
        let is_replaced = |former: &Arc<str>, address| former != name && address == entry.address;
        let formers: Vec<Arc<str>> = self
            .servers()
            .iter()
            .filter(|server| is_replaced(&server.name, lock(&server.entry).address))
            .map(|server| Arc::clone(&server.name))
            .collect();
        for former in formers {
            self.remove(&former);
        }
        let now = self.clock.now();
        for (former, server) in &mut *lock(&self.removed) {
            let address = server.entry.as_ref().map(|entry| entry.address);
            if address.is_some_and(|address| is_replaced(former, address)) {
                server.stopped = Some(now);
                // Nobody needs to find out whether it still runs.
                server.entry = None;
            }
        }
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
        let removed = Removed {
            at,
            born: Some(entry.born),
            entry: Some(entry),
            stopped: None,
        };
        lock(&self.removed).insert(Arc::clone(name), removed);
        server.pool.close();
        self.on_not_leader(name);
        self.changed.notify_waiters();
    }
}
