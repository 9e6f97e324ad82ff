//! The connection pool of one instance for the servers of one group.

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

/// A connection pool with a limit per server. Transactions reuse its connections.
pub struct Pool {
    connector: Arc<dyn Connector>,
    servers: Mutex<BTreeMap<Arc<str>, Arc<Server>>>,
}

/// The connections to one server.
struct Server {
    target: Target,
    /// One permit per connection that may be in use.
    permits: Arc<Semaphore>,
    state: Mutex<State>,
}

struct State {
    /// Open connections that are not in use and have no transaction or unread data.
    idle: Vec<Box<dyn Connection>>,
    /// The maximum number of connections in use; equals the number of existing permits.
    limit: usize,
    /// False once the server was removed; returned connections are then closed.
    is_open: bool,
}

/// A pooled connection in use by one transaction.
///
/// Dropping it closes the connection; [`Lease::release`] returns the connection to the pool.
pub struct Lease {
    connection: Box<dyn Connection>,
    server: Arc<Server>,
    _permit: OwnedSemaphorePermit,
}

impl Pool {
    /// Creates a pool without servers.
    pub fn open(connector: Arc<dyn Connector>) -> Arc<Self> {
        Arc::new(Self {
            connector,
            servers: Mutex::default(),
        })
    }

    /// Replaces the servers and their limits on connections in use.
    ///
    /// A server that is missing from `targets`, or whose target changed, is removed: its idle
    /// connections are closed at once, and those in use when they are released.
    pub fn set_servers(&self, targets: &[(Target, usize)]) {
        let mut servers = lock(&self.servers);
        servers.retain(|name, server| {
            let is_kept = targets
                .iter()
                .any(|(target, _)| target.name == *name && *target == server.target);
            if !is_kept {
                server.close();
            }
            is_kept
        });
        for (target, limit) in targets {
            let server = servers
                .entry(Arc::clone(&target.name))
                .or_insert_with(|| Arc::new(Server::open(target.clone())));
            server.resize(*limit);
        }
    }

    /// Takes an idle connection or opens one, after waiting while the limit is reached.
    ///
    /// Fails with `Error::NotSent` if the server is unknown or is removed during the wait, and
    /// with the connector's error if a new connection can't be opened.
    pub async fn acquire(&self, name: &str) -> Result<Lease, Error> {
        let server = self.server(name)?;
        let permits = Arc::clone(&server.permits);
        let permit = permits
            .acquire_owned()
            .await
            .map_err(|_| not_sent(name, "the server was removed"))?;
        self.lease(server, permit).await
    }

    /// Takes an idle connection or opens one; returns `None` if it would have to wait.
    pub async fn try_acquire(&self, name: &str) -> Option<Result<Lease, Error>> {
        let server = match self.server(name) {
            Ok(server) => server,
            Err(error) => return Some(Err(error)),
        };
        let permit = Arc::clone(&server.permits).try_acquire_owned().ok()?;
        Some(self.lease(server, permit).await)
    }

    /// Opens a connection that does not count towards the limit.
    ///
    /// It serves to check a server that seems to be down, or to promote a server whose pooled
    /// connections may all be in use.
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

    /// Returns the numbers of connections to a server that are in use and that are idle.
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

    /// Returns the maximum number of connections to a server in use; 0 for an unknown server.
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
                is_open: true,
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
        state.is_open = false;
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

    fn return_idle(&self, connection: Box<dyn Connection>) {
        let mut state = lock(&self.state);
        if state.is_open && state.idle.len() < state.limit && !connection.is_closed() {
            state.idle.push(connection);
        }
    }
}

impl Lease {
    /// Returns the connection to the pool for reuse.
    ///
    /// Callers must have ended the transaction and read the last answer completely.
    pub fn release(self) {
        self.server.return_idle(self.connection);
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
