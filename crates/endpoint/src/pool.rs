//! The connections of one instance to the servers of one group.

use std::collections::BTreeMap;
use std::ops::Deref;
use std::ops::DerefMut;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::Connection;
use crate::Connector;
use crate::Error;
use crate::Target;

/// Bounded connections a server, reused between transactions.
pub struct Pool {
    connector: Arc<dyn Connector>,
    servers: Mutex<BTreeMap<Arc<str>, Arc<Server>>>,
}

/// The connections to one server.
struct Server {
    target: Target,
    /// One permit for each connection that may be in use.
    permits: Arc<Semaphore>,
    state: Mutex<State>,
}

struct State {
    /// Connections that are open, clean and not in use.
    idle: Vec<Box<dyn Connection>>,
    /// Connections that may be in use at once; equals the permits that exist.
    limit: usize,
    /// False once the server was removed; connections are closed instead of kept.
    open: bool,
}

/// A connection in use by one transaction.
///
/// It is closed when dropped, unless it was given back by [`Lease::release`].
pub struct Lease {
    connection: Box<dyn Connection>,
    server: Arc<Server>,
    _permit: OwnedSemaphorePermit,
}

impl Pool {
    /// Opens a pool without servers.
    pub fn open(connector: Arc<dyn Connector>) -> Arc<Self> {
        Arc::new(Self {
            connector,
            servers: Mutex::default(),
        })
    }

    /// Sets the servers and how many connections to each may be in use at once.
    pub fn set_servers(&self, wanted: &[(Target, usize)]) {
        let mut servers = lock(&self.servers);
        servers.retain(|name, server| {
            let kept = wanted
                .iter()
                .any(|(target, _)| target.name == *name && *target == server.target);
            if !kept {
                server.close();
            }
            kept
        });
        for (target, limit) in wanted {
            let server = servers
                .entry(Arc::clone(&target.name))
                .or_insert_with(|| Arc::new(Server::open(target.clone())));
            server.resize(*limit);
        }
    }

    /// Takes a connection, waiting for one that is in use and opening one if none is idle.
    pub async fn acquire(&self, name: &str) -> Result<Lease, Error> {
        let server = self.server(name)?;
        let permits = Arc::clone(&server.permits);
        let permit = permits
            .acquire_owned()
            .await
            .map_err(|_| not_sent(name, "the server was removed"))?;
        self.lease(server, permit).await
    }

    /// Takes a connection if one may be used at once.
    pub async fn try_acquire(&self, name: &str) -> Option<Result<Lease, Error>> {
        let server = match self.server(name) {
            Ok(server) => server,
            Err(error) => return Some(Err(error)),
        };
        let permit = Arc::clone(&server.permits).try_acquire_owned().ok()?;
        Some(self.lease(server, permit).await)
    }

    /// Opens a connection outside the limit, for a single check of a server that looks dead.
    pub async fn connect_unpooled(&self, name: &str) -> Result<Box<dyn Connection>, Error> {
        let server = self.server(name)?;
        self.connector.connect(&server.target).await
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, name: &str) {
        if let Ok(server) = self.server(name) {
            lock(&server.state).idle.clear();
        }
    }

    /// Returns how many connections to a server are in use and how many are idle.
    pub fn usage(&self, name: &str) -> (usize, usize) {
        let Ok(server) = self.server(name) else {
            return (0, 0);
        };
        let state = lock(&server.state);
        let used = state
            .limit
            .saturating_sub(server.permits.available_permits());
        (used, state.idle.len())
    }

    /// Returns how many connections to a server may be in use at once.
    pub fn limit(&self, name: &str) -> usize {
        self.server(name)
            .map_or(0, |server| lock(&server.state).limit)
    }

    async fn lease(
        &self,
        server: Arc<Server>,
        permit: OwnedSemaphorePermit,
    ) -> Result<Lease, Error> {
        let connection = match server.take_idle() {
            Some(connection) => connection,
            None => self.connector.connect(&server.target).await?,
        };
        Ok(Lease {
            connection,
            server,
            _permit: permit,
        })
    }

    fn server(&self, name: &str) -> Result<Arc<Server>, Error> {
        lock(&self.servers)
            .get(name)
            .cloned()
            .ok_or_else(|| not_sent(name, "no such server in the settings"))
    }
}

impl Server {
    fn open(target: Target) -> Self {
        Self {
            target,
            permits: Arc::new(Semaphore::new(0)),
            state: Mutex::new(State {
                idle: Vec::new(),
                limit: 0,
                open: true,
            }),
        }
    }

    fn resize(&self, limit: usize) {
        let mut state = lock(&self.state);
        if limit > state.limit {
            self.permits.add_permits(limit - state.limit);
            state.limit = limit;
        }
        if limit < state.limit {
            let removed = self.permits.forget_permits(state.limit - limit);
            state.limit -= removed;
            state.idle.truncate(limit);
        }
    }

    fn close(&self) {
        self.permits.close();
        let mut state = lock(&self.state);
        state.open = false;
        state.idle.clear();
    }

    fn take_idle(&self) -> Option<Box<dyn Connection>> {
        let mut state = lock(&self.state);
        while let Some(connection) = state.idle.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    fn give_back(&self, connection: Box<dyn Connection>) {
        let mut state = lock(&self.state);
        if state.open && state.idle.len() < state.limit && !connection.is_closed() {
            state.idle.push(connection);
        }
    }
}

impl Lease {
    /// Gives the connection back for reuse.
    ///
    /// Only called between transactions, after the last answer was read whole.
    pub fn release(self) {
        self.server.give_back(self.connection);
    }
}

impl Deref for Lease {
    type Target = dyn Connection;

    fn deref(&self) -> &Self::Target {
        &*self.connection
    }
}

impl DerefMut for Lease {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut *self.connection
    }
}

fn not_sent(peer: &str, why: &str) -> Error {
    Error::NotSent {
        step: "acquire",
        peer: Arc::from(peer),
        why: why.to_owned(),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
