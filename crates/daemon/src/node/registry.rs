//! The open sessions of this process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use clock::Time;
use front::Ended;
use front::Ending;
use tokio::sync::watch;

use super::lock;

/// One open session.
pub struct Entry {
    /// The number of the session at this instance, from 1.
    pub id: u64,
    /// The client account.
    pub account: Arc<str>,
    /// The key that the client logged in with; `None` on a route open to all.
    pub key: Option<Arc<str>>,
    /// The name of the service.
    pub service: Arc<str>,
    /// The name of the route.
    pub route: Arc<str>,
    /// The client's address.
    pub client: SocketAddr,
    /// When the session began.
    pub began: Time,
    /// The number of statements so far.
    pub statements: AtomicU64,
    /// True while a statement runs.
    pub is_running: AtomicBool,
    /// True while a transaction is open.
    pub in_transaction: AtomicBool,
    ending: watch::Sender<Option<Ending>>,
}

/// The open sessions, by number.
#[derive(Default)]
pub struct Registry {
    next: AtomicU64,
    sessions: Mutex<BTreeMap<u64, Arc<Entry>>>,
}

impl Entry {
    /// Creates the entry of a session; [`Registry::add`] assigns its number.
    pub fn open(
        hello: &front::Hello,
        key: Option<Arc<str>>,
        service: Arc<str>,
        route: Arc<str>,
        began: Time,
    ) -> Self {
        Self {
            id: 0,
            account: Arc::clone(&hello.account),
            key,
            service,
            route,
            client: hello.peer,
            began,
            statements: AtomicU64::new(0),
            is_running: AtomicBool::new(false),
            in_transaction: AtomicBool::new(false),
            ending: watch::channel(None).0,
        }
    }

    /// Returns a receiver that is notified when the session must end.
    pub fn ended(&self) -> Ended {
        self.ending.subscribe()
    }

    /// Asks the session to end; only the first request counts.
    pub fn end(&self, ending: Ending) {
        self.ending.send_if_modified(|slot| {
            let is_first = slot.is_none();
            if is_first {
                *slot = Some(ending);
            }
            is_first
        });
    }
}

impl Registry {
    /// Adds a session and assigns its number.
    pub fn add(&self, mut entry: Entry) -> Arc<Entry> {
        entry.id = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = Arc::new(entry);
        lock(&self.sessions).insert(entry.id, Arc::clone(&entry));
        entry
    }

    /// Removes a session.
    pub fn remove(&self, id: u64) {
        lock(&self.sessions).remove(&id);
    }

    /// Returns the open sessions.
    pub fn list(&self) -> Vec<Arc<Entry>> {
        lock(&self.sessions).values().cloned().collect()
    }
}
