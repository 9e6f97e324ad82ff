//! A group of servers and the switches that a test can move.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;

use super::Options;
use super::Server;
use super::replication;
use crate::Error;
use crate::error::DatabaseSnafu;
use crate::error::ListenSnafu;
use crate::wire;

/// A running group; it stops when it is dropped.
pub struct Group {
    /// The group's name.
    pub name: Arc<str>,
    /// The servers, in the order of their addresses.
    pub servers: Vec<Arc<Server>>,
    pub(super) changed: Arc<Notify>,
    connections: Arc<Semaphore>,
    link_ms: u64,
    lag_ms: AtomicU64,
    /// Pairs of servers, lower index first, between which nothing is replicated.
    cuts: Mutex<BTreeSet<(usize, usize)>>,
    followers: Vec<AbortHandle>,
}

impl Group {
    /// Starts all servers; the first one is the primary of term 1.
    pub async fn spawn(options: Options) -> Result<Arc<Self>, Error> {
        let options = Arc::new(options);
        let connections = Arc::new(Semaphore::new(options.connections));
        let changed = Arc::new(Notify::new());
        let mut servers = Vec::new();
        for index in 0..options.servers.len() {
            let server = Server::open(
                index,
                Arc::clone(&options),
                Arc::clone(&connections),
                Arc::clone(&changed),
            );
            let peer = format!("{}-{}", options.name, index + 1);
            servers.push(server.context(DatabaseSnafu { peer })?);
        }
        for server in &servers {
            start(server).await?;
        }
        Ok(Arc::new_cyclic(|group| Self {
            name: Arc::clone(&options.name),
            followers: (0..servers.len())
                .map(|index| tokio::spawn(replication::follow(group.clone(), index)).abort_handle())
                .collect(),
            servers,
            changed,
            connections,
            link_ms: options.link_ms,
            lag_ms: AtomicU64::new(options.lag_ms),
            cuts: Mutex::default(),
        }))
    }

    /// Returns the index of a server.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|server| &*server.name == name)
    }

    /// Stops a server as if its process was killed; its log stays.
    pub fn kill(&self, index: usize) {
        let server = &self.servers[index];
        server.alive.store(false, Ordering::SeqCst);
        let mut listener = server
            .listener
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(handle) = listener.take() {
            handle.abort();
        }
        log::info!("kind=fault what=killed server={}", server.name);
    }

    /// Starts a killed server with the log that it had.
    pub async fn restart(&self, index: usize) -> Result<(), Error> {
        if self.servers[index].is_alive() {
            return Ok(());
        }
        log::info!(
            "kind=fault what=restarted server={}",
            self.servers[index].name
        );
        start(&self.servers[index]).await
    }

    /// Stops replication between two servers, or lets it go on.
    pub fn set_cut(&self, one: usize, other: usize, cut: bool) {
        let pair = (one.min(other), one.max(other));
        let mut cuts = self.cuts.lock().unwrap_or_else(PoisonError::into_inner);
        if cut {
            cuts.insert(pair);
        } else {
            cuts.remove(&pair);
        }
        self.changed.notify_waiters();
    }

    /// Cuts a server off from all others of the group, or lets it rejoin.
    pub fn isolate(&self, index: usize, cut: bool) {
        for other in 0..self.servers.len() {
            if other != index {
                self.set_cut(index, other, cut);
            }
        }
        let name = &self.servers[index].name;
        log::info!("kind=fault what=isolated server={name} cut={cut}");
    }

    /// Heals all cuts.
    pub fn heal(&self) {
        let mut cuts = self.cuts.lock().unwrap_or_else(PoisonError::into_inner);
        cuts.clear();
        self.changed.notify_waiters();
    }

    /// Returns true if nothing is replicated between two servers.
    pub fn is_cut(&self, one: usize, other: usize) -> bool {
        let pair = (one.min(other), one.max(other));
        let cuts = self.cuts.lock().unwrap_or_else(PoisonError::into_inner);
        cuts.contains(&pair)
    }

    /// Returns how many more connections the group admits.
    pub fn free_connections(&self) -> usize {
        self.connections.available_permits()
    }

    /// Sets the time from receiving to applying a record.
    pub fn set_lag_ms(&self, lag_ms: u64) {
        self.lag_ms.store(lag_ms, Ordering::SeqCst);
    }

    /// Returns the time from receiving to applying a record.
    pub fn lag(&self) -> Duration {
        Duration::from_millis(self.lag_ms.load(Ordering::SeqCst))
    }

    pub(super) fn link(&self) -> Duration {
        Duration::from_millis(self.link_ms)
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for follower in &self.followers {
            follower.abort();
        }
        for index in 0..self.servers.len() {
            self.kill(index);
        }
    }
}

async fn start(server: &Arc<Server>) -> Result<(), Error> {
    let address = server.address();
    let peer = address.to_string();
    let listener = TcpListener::bind(address)
        .await
        .context(ListenSnafu { peer: &peer })?;
    let bound: SocketAddr = listener.local_addr().context(ListenSnafu { peer })?;
    *server
        .address
        .lock()
        .unwrap_or_else(PoisonError::into_inner) = bound;
    server.alive.store(true, Ordering::SeqCst);
    let task = tokio::spawn(accept(listener, Arc::clone(server)));
    let mut slot = server
        .listener
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    *slot = Some(task.abort_handle());
    server.changed.notify_waiters();
    Ok(())
}

/// Accepts until aborted, which closes all connections too.
async fn accept(listener: TcpListener, server: Arc<Server>) {
    let mut sessions = JoinSet::new();
    loop {
        while sessions.try_join_next().is_some() {}
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        sessions.spawn(serve(socket, Arc::clone(&server)));
    }
}

/// Pause after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

async fn serve(socket: TcpStream, server: Arc<Server>) {
    let _ = socket.set_nodelay(true);
    if let Err(error) = wire::serve(socket, server).await {
        log::debug!("kind=session what=closed error={:?}", error.to_string());
    }
}
