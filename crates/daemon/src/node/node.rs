//! The state of one process.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use account::key::Keyring;
use account::rate::Limiter;
use clock::Clock;
use clock::Time;
use endpoint::Connector;
use membership::Heartbeat;
use membership::Members;
use membership::Phase;
use membership::Renewer;
use peer::Transport;
use settings::Effective;
use settings::Held;
use settings::Holder;
use settings::Start;
use store::Objects;
use store::Roster;
use store::Table;
use timeline::Ring;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::Registry;
use crate::conf::Options;
use crate::group::Handle;
use crate::metrics::Meter;

/// The state that the tasks of one process share.
///
/// The `std` locks are held for single decisions only, never across an `await`, and never two at
/// once, but for `applying`, which is taken before any other.
pub struct Node {
    /// The settings of the process.
    pub options: Options,
    /// Identifies this run of the process; drawn at random at startup.
    pub incarnation: u64,
    /// The machine's clocks.
    pub clock: Arc<dyn Clock>,
    /// The buffer of time line events.
    pub ring: Arc<Ring>,
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub objects: Arc<dyn Objects>,
    /// The platform's roster.
    pub roster: Arc<dyn Roster>,
    /// Opens connections to endpoints.
    pub connector: Arc<dyn Connector>,
    /// Sends requests to peers.
    pub transport: Arc<dyn Transport>,
    /// The settings revision in force.
    pub holder: Mutex<Holder>,
    /// Decides when the first settings may be used.
    pub start: Mutex<Start>,
    /// The members of the fleet.
    pub members: Mutex<Members>,
    /// The instance's own lease.
    pub renewer: Mutex<Renewer>,
    /// True once the lease row has been released for good; locked during each write of the row.
    pub is_lease_released: tokio::sync::Mutex<bool>,
    /// The time span in which the instance's lease row is known to be in the table.
    pub lease_span: Mutex<Option<(Time, Time)>>,
    /// The keys in force.
    pub keyring: Mutex<Keyring>,
    /// Limits the request rate and burst of each account.
    pub limiter: Mutex<Limiter>,
    /// Wakes the task that steps the limiter.
    pub limiter_wake: Notify,
    /// Wakes requests that wait for rate tokens.
    pub tokens_added: Notify,
    /// The groups of the settings in force.
    pub groups: Mutex<BTreeMap<Arc<str>, Arc<Handle>>>,
    /// Held while the groups are made equal to the settings in force, by one task at a time.
    pub applying: Mutex<()>,
    /// The endpoints that the roster last listed as leaving.
    pub leaving: Mutex<BTreeSet<Arc<str>>>,
    /// The evacuated zones of the settings in force, with the times from which their primaries get
    /// nothing; `None` until settings were applied.
    pub evacuated: Mutex<Option<BTreeMap<Arc<str>, Time>>>,
    /// The metrics.
    pub meter: Meter,
    /// The open sessions.
    pub sessions: Registry,
    /// The signing keys of session tokens.
    pub tokens: session::Keyring,
    /// The settings in force; subscribers are notified of each change.
    pub settings: watch::Sender<Option<Arc<Held>>>,
    /// True once a planned stop has begun.
    pub is_stopping: AtomicBool,
    /// The sequence number of the latest heartbeat.
    pub sequence: AtomicU64,
}

impl Node {
    /// Returns the current point in time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the settings in force.
    pub fn held(&self) -> Option<Arc<Held>> {
        self.settings.borrow().clone()
    }

    /// Returns true if the startup rules and the settings permit requests under these values.
    pub fn has_usable_settings(&self, effective: &Effective) -> bool {
        let now = self.now();
        let has_ground = lock(&self.start).ground(now).is_some();
        has_ground && lock(&self.holder).may_act(now, effective)
    }

    /// Returns the group of this name, if the settings in force have one.
    pub fn group(&self, name: &str) -> Option<Arc<Handle>> {
        lock(&self.groups).get(name).cloned()
    }

    /// Returns all groups.
    pub fn all_groups(&self) -> Vec<Arc<Handle>> {
        lock(&self.groups).values().cloned().collect()
    }

    /// Returns how many instances share the endpoints' connections, this one included.
    pub fn instances(&self) -> usize {
        let now = self.now();
        lock(&self.members).active(now).count() + 1
    }

    /// Returns the addresses at which this process reaches the live peers, by instance name.
    pub fn peers(&self) -> BTreeMap<Arc<str>, Arc<str>> {
        let now = self.now();
        lock(&self.members)
            .live(now)
            .map(|member| {
                let address = self.options.reach(&member.address);
                (Arc::clone(&member.name), address)
            })
            .collect()
    }

    /// Builds the next heartbeat and advances the sequence number.
    pub fn heartbeat(&self) -> Heartbeat {
        let now = self.now();
        let (revision, hash, confirmed) = {
            let holder = lock(&self.holder);
            let hash = holder.held().map(|held| Arc::clone(&held.snapshot.hash));
            (holder.revision(), hash, holder.confirmed())
        };
        let last_table_read = lock(&self.members).last_table_read();
        let age_ms = |at: Time| now.since(at).as_millis();
        Heartbeat {
            fleet: Arc::clone(&self.options.fleet),
            version: membership::PROTOCOL_VERSION,
            name: Arc::clone(&self.options.name),
            life: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            zone: Arc::clone(&self.options.zone),
            address: Arc::clone(&self.options.peer),
            admin: Arc::clone(&self.options.admin),
            phase: self.phase(),
            revision,
            hash: hash.unwrap_or_else(|| Arc::from("")),
            confirmed_age_ms: confirmed.map(age_ms),
            table_age_ms: last_table_read.map(age_ms),
        }
    }

    /// Returns the phase that heartbeats report: leaving once a planned stop has begun.
    pub fn phase(&self) -> Phase {
        if self.is_stopping.load(Ordering::Relaxed) {
            Phase::Leaving
        } else {
            Phase::Live
        }
    }
}

/// Locks a mutex and ignores poisoning, so that a panic in one task does not stop the others.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
