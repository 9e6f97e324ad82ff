//! One server of a group.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use pgwire::api::ConnectionManager;
use pgwire::api::RandomPidSecretKeyGenerator;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::Open;
use super::Options;
use super::Position;
use super::Record;
use super::Role;
use super::Status;
use super::Store;
use super::Transaction;
use super::state::State;
use crate::sql;

/// A server: its log, its data and its limits.
pub struct Server {
    /// The server's name.
    pub name: Arc<str>,
    /// The group's sizes.
    pub(crate) options: Arc<Options>,
    /// Connections of the whole group.
    pub(crate) connections: Arc<Semaphore>,
    /// Statements of this server.
    pub(crate) slots: Arc<Semaphore>,
    pub(crate) manager: Arc<ConnectionManager>,
    pub(crate) pids: Arc<RandomPidSecretKeyGenerator>,
    pub(super) state: Mutex<State>,
    /// Wakes the servers that follow.
    pub(super) changed: Arc<Notify>,
    pub(super) alive: AtomicBool,
    paused: watch::Sender<bool>,
    /// How often each text was read outside of write transactions, by whether it was a replica.
    reads: Mutex<BTreeMap<(bool, Arc<str>), u64>>,
    pub(super) listener: Mutex<Option<AbortHandle>>,
    pub(super) address: Mutex<SocketAddr>,
}

/// Why a write transaction was not committed.
pub(crate) enum Refusal {
    /// The server is not the primary any more.
    Demoted,
    /// The database refused.
    Database(rusqlite::Error),
}

impl Server {
    pub(super) fn open(
        index: usize,
        options: Arc<Options>,
        connections: Arc<Semaphore>,
        changed: Arc<Notify>,
    ) -> rusqlite::Result<Arc<Self>> {
        let primary = index == 0;
        let role = if primary {
            Role::Primary
        } else {
            Role::Replica
        };
        let mut state = State::open(role, Store::create()?);
        if primary {
            begin_term(&mut state, FIRST_TERM);
        }
        Ok(Arc::new(Self {
            name: Arc::from(format!("{}-{}", options.name, index + 1)),
            connections,
            slots: Arc::new(Semaphore::new(options.slots)),
            manager: Arc::new(ConnectionManager::new()),
            pids: Arc::new(RandomPidSecretKeyGenerator::default()),
            state: Mutex::new(state),
            changed,
            alive: AtomicBool::new(false),
            paused: watch::Sender::new(false),
            reads: Mutex::default(),
            listener: Mutex::new(None),
            address: Mutex::new(options.servers[index]),
            options,
        }))
    }

    /// Returns the server's replication state.
    pub fn status(&self) -> Status {
        self.lock().status()
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        *self.address.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the records that it holds.
    pub fn records(&self) -> Vec<Arc<Record>> {
        let state = self.lock();
        state
            .log
            .iter()
            .map(|held| Arc::clone(&held.record))
            .collect()
    }

    /// Returns true while the server runs.
    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Returns true while nothing on it answers.
    pub fn is_paused(&self) -> bool {
        *self.paused.borrow()
    }

    /// Stops or resumes all answers; connections are accepted meanwhile.
    pub fn pause(&self, paused: bool) {
        self.paused.send_replace(paused);
        self.changed.notify_waiters();
    }

    /// Waits until the server is not paused.
    pub(crate) async fn resumed(&self) {
        let mut paused = self.paused.subscribe();
        let _ = paused.wait_for(|paused| !paused).await;
    }

    /// Counts a read by its text without values.
    pub(crate) fn count_read(&self, text: &str) {
        let key = (!self.is_primary(), Arc::from(sql::shape(text)));
        let mut reads = self.reads.lock().unwrap_or_else(PoisonError::into_inner);
        if reads.len() < COUNTED_TEXTS || reads.contains_key(&key) {
            *reads.entry(key).or_default() += 1;
        }
    }

    /// Returns how often each text was read while the server was a replica, or while it was not.
    pub fn reads(&self, replica: bool) -> BTreeMap<Arc<str>, u64> {
        let reads = self.reads.lock().unwrap_or_else(PoisonError::into_inner);
        let own = reads.iter().filter(|((kind, _), _)| *kind == replica);
        own.map(|((_, text), count)| (Arc::clone(text), *count))
            .collect()
    }

    /// Returns the write transaction that is open.
    pub fn open_transaction(&self) -> Option<Open> {
        self.store().open_transaction()
    }

    /// Returns how many statements run now.
    pub fn running(&self) -> usize {
        self.options.slots - self.slots.available_permits()
    }

    /// Returns the current data.
    pub(crate) fn store(&self) -> Arc<Store> {
        Arc::clone(&self.lock().store)
    }

    /// Returns true if the server takes writes.
    pub(crate) fn is_primary(&self) -> bool {
        self.lock().role == Role::Primary
    }

    /// Commits a transaction and appends its record; one that changed nothing leaves no record.
    pub(crate) fn commit(&self, transaction: Transaction) -> Result<(), Refusal> {
        let mut state = self.lock();
        let current = Arc::ptr_eq(&state.store, &transaction.store);
        if state.role != Role::Primary || !current || !self.is_alive() {
            return Err(Refusal::Demoted);
        }
        let statements = transaction.finish().map_err(Refusal::Database)?;
        if statements.is_empty() {
            return Ok(());
        }
        state.store.publish(&statements);
        let last = state.received();
        let position = Position {
            term: state.highest_term,
            offset: last.offset + 1,
        };
        append(&mut state, position, statements);
        drop(state);
        self.changed.notify_waiters();
        Ok(())
    }

    /// Makes this server the primary of `term` if it never saw that term or a later one.
    ///
    /// Returns the highest term seen if that is not so.
    pub(crate) async fn promote(&self, term: u64) -> Result<(), u64> {
        if !self.is_primary() {
            self.apply_all().await;
        }
        let mut state = self.lock();
        if term <= state.highest_term {
            return Err(state.highest_term);
        }
        assert_eq!(state.applied, state.log.len(), "records left to apply");
        begin_term(&mut state, term);
        drop(state);
        log::info!("kind=group what=promoted server={} term={term}", self.name);
        self.changed.notify_waiters();
        Ok(())
    }

    /// Returns true if there is nothing left to apply.
    pub(super) fn is_applied(&self) -> bool {
        let state = self.lock();
        state.role == Role::Primary || state.applied == state.log.len()
    }

    /// Applies all records at once, without lag, and stops following.
    async fn apply_all(&self) {
        loop {
            let store = self.store();
            let writer = store.writer().await;
            let mut state = self.lock();
            if Arc::ptr_eq(&store, &state.store) {
                state.replay(&writer, usize::MAX);
                return;
            }
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Different texts whose reads are counted.
const COUNTED_TEXTS: usize = 1_000;
/// The term in which a group starts.
const FIRST_TERM: u64 = 1;

fn begin_term(state: &mut State, term: u64) {
    let offset = state.received().offset + 1;
    state.role = Role::Primary;
    state.highest_term = term;
    append(state, Position { term, offset }, Vec::new());
}

fn append(state: &mut State, position: Position, statements: Vec<super::Statement>) {
    let committed = Instant::now();
    let record = Arc::new(Record {
        position,
        statements,
        committed,
    });
    state.append(record, committed);
    state.applied = state.log.len();
}
