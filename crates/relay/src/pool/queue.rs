//! The queue of requests for connections to one server, and its idle connections.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::pool::Admission;
use crate::pool::Connection;
use crate::pool::Permit;
use crate::pool::Usage;
use crate::schedule::Entry;
use crate::schedule::Forecast;
use crate::schedule::Order;

/// Initial limit on connections and statements, until the instance's share is known.
const INITIAL_LIMIT: usize = 2;
/// Longest run of statements that overtake an older one because their account has an idle
/// connection. Opening a connection costs the server as much as a statement, so this keeps the
/// cost of switching accounts at about a tenth of its time.
const REUSE_STREAK_MAX: u32 = 8;

/// What a queued request receives.
pub enum Grant {
    /// An idle connection of its account.
    Connection(Connection),
    /// A permit to open a connection.
    Permit(Permit),
}

/// A queued request.
pub struct Waiter {
    /// Its account.
    pub account: Arc<str>,
    /// When it was queued.
    pub since: Time,
    /// The longest time that it may wait.
    pub max_wait: Span,
    /// Receives its grant.
    pub sender: oneshot::Sender<Grant>,
}

impl Waiter {
    /// Returns the request as the order sees it.
    fn entry(&self, (priority, sequence): (u32, u64)) -> Entry<'_> {
        Entry {
            sequence,
            priority,
            account: &self.account,
            since: self.since,
            max_wait: self.max_wait,
        }
    }
}

/// The queue of requests for connections to one server, and its idle connections.
pub struct Queue {
    /// The maximum number of connections.
    pub connection_limit: usize,
    /// The maximum number of concurrent statements.
    pub statement_limit: usize,
    /// The number of connections that are open or being opened.
    pub permits_in_use: usize,
    /// The number of connections in use, by account.
    busy: BTreeMap<Arc<str>, usize>,
    /// Idle connections, the most recently used last.
    pub idle: Vec<Connection>,
    /// Queued requests, by priority and sequence number.
    pub waiters: BTreeMap<(u32, u64), Waiter>,
    /// The sequence number of the next request.
    next_sequence: u64,
    /// Whether the server was removed.
    pub is_closed: bool,
    /// How often connections are requested.
    pub usage: Usage,
    /// The requests refused since the overload began; zero outside of one.
    pub refused: u64,
    /// Until when the overload lasts at least.
    pub overloaded_until: Time,
    /// When the queue has room for refused requests.
    pub forecast: Forecast,
    /// The order in which queued requests are granted.
    pub order: Order,
}

impl Queue {
    /// Opens an empty queue for a server without connections.
    pub fn open() -> Self {
        Self {
            connection_limit: INITIAL_LIMIT,
            statement_limit: INITIAL_LIMIT,
            permits_in_use: 0,
            busy: BTreeMap::new(),
            idle: Vec::new(),
            waiters: BTreeMap::new(),
            next_sequence: 0,
            is_closed: false,
            usage: Usage::default(),
            refused: 0,
            overloaded_until: Time::ZERO,
            forecast: Forecast::open(),
            order: Order::open(),
        }
    }

    /// Returns the number of connections in use.
    pub fn running(&self) -> usize {
        self.busy.values().sum()
    }

    /// Returns whether a connection of the account is likely to become idle before one is opened.
    pub fn is_worth_waiting(&self, account: &Arc<str>) -> bool {
        let busy = self.busy.get(account).copied().unwrap_or_default();
        let waiting = self
            .waiters
            .values()
            .filter(|waiter| waiter.account == *account)
            .count();
        self.permits_in_use >= self.connection_limit && waiting < busy
    }

    /// Returns the index of the account's most recently used idle connection.
    pub fn idle_for(&self, account: &str) -> Option<usize> {
        self.idle
            .iter()
            .rposition(|connection| *connection.account == *account)
    }

    /// Returns the key of the request to grant next.
    ///
    /// It is the first one in `schedule::Order`, unless another one of its kind can reuse an idle
    /// connection whose streak is below `REUSE_STREAK_MAX`.
    pub fn next_waiter(&mut self) -> Option<(u32, u64)> {
        self.waiters.retain(|_, waiter| !waiter.sender.is_closed());
        let entries = self.waiters.iter().map(|(key, waiter)| waiter.entry(*key));
        let sequence = self.order.next(entries)?;
        let mut keys = self.waiters.keys();
        let first = *keys.find(|(_, other)| *other == sequence)?;
        if self.idle_for(&self.waiters[&first].account).is_some() {
            return Some(first);
        }
        let kind = (first.0, 0)..=(first.0, u64::MAX);
        let preferred = self
            .waiters
            .range(kind)
            .find_map(|(key, waiter)| Some((*key, self.idle_for(&waiter.account)?)));
        let Some((key, index)) = preferred else {
            return Some(first);
        };
        let connection = &mut self.idle[index];
        connection.reuse_streak += 1;
        if connection.reuse_streak <= REUSE_STREAK_MAX {
            return Some(key);
        }
        connection.reuse_streak = 0;
        Some(first)
    }

    /// Removes the request that is granted a connection now.
    pub fn take(&mut self, now: Time, key: (u32, u64)) -> Option<Waiter> {
        let waiter = self.waiters.remove(&key)?;
        self.order.on_granted(now, &waiter.entry(key));
        Some(waiter)
    }

    /// Returns when the oldest request that goes before a new one of `priority` was queued.
    pub fn oldest_wait(&self, priority: u32) -> Option<Time> {
        self.waiters
            .range(..(priority + 1, 0))
            .filter(|(_, waiter)| !waiter.sender.is_closed())
            .map(|(_, waiter)| waiter.since)
            .min()
    }

    /// Returns whether a new request has no chance to be served within its limits.
    ///
    /// It has none if it is not expected to be served within its wait, or if the queue is too old:
    /// its own account's, or that of any request before it unless the forecast shows that the new
    /// one passes that, as when another account floods the queue.
    pub fn is_hopeless(
        &self,
        now: Time,
        account: &Arc<str>,
        priority: u32,
        admission: &Admission,
    ) -> bool {
        let is_old = |since: Time| now >= since + admission.max_queue_age;
        let own = self
            .waiters
            .range((priority, 0)..=(priority, u64::MAX))
            .find(|(_, waiter)| waiter.account == *account && !waiter.sender.is_closed());
        if own.is_some_and(|(_, waiter)| is_old(waiter.since)) {
            return true;
        }
        let is_any_old = self.oldest_wait(priority).is_some_and(is_old);
        if self.running() < self.statement_limit && !is_any_old {
            return false;
        }
        let new = Entry {
            sequence: self.next_sequence,
            priority,
            account,
            since: now,
            max_wait: admission.max_wait,
        };
        let waiting = self
            .waiters
            .iter()
            .filter(|(_, waiter)| !waiter.sender.is_closed())
            .map(|(key, waiter)| waiter.entry(*key));
        let work = self.order.work_ahead(now, waiting, &new);
        let slots = self.statement_limit.min(self.connection_limit);
        match self.forecast.wait(work, slots) {
            Some(wait) => {
                let left = admission.deadline.saturating_duration_since(Instant::now());
                let limit = admission.max_wait.min(left.into());
                wait > limit || (is_any_old && wait >= admission.max_queue_age)
            }
            None => is_any_old,
        }
    }

    /// Returns the number of requests that wait and go before a new one of `priority`.
    pub fn waiting_before(&self, priority: u32) -> usize {
        self.waiters
            .range(..(priority + 1, 0))
            .filter(|(_, waiter)| !waiter.sender.is_closed())
            .count()
    }

    /// Removes and returns the connections that have been idle for `timeout`.
    pub fn take_idle_since(&mut self, now: Time, timeout: Option<Span>) -> Vec<Connection> {
        let Some(timeout) = timeout else {
            return Vec::new();
        };
        let idle = std::mem::take(&mut self.idle);
        let (expired, kept) = idle
            .into_iter()
            .partition(|connection| now >= connection.released + timeout);
        self.idle = kept;
        expired
    }

    /// Queues a request; the receiver yields its grant.
    pub fn enqueue(
        &mut self,
        now: Time,
        account: &Arc<str>,
        priority: u32,
        max_wait: Span,
    ) -> oneshot::Receiver<Grant> {
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            account: Arc::clone(account),
            since: now,
            max_wait,
            sender,
        };
        self.waiters.insert((priority, self.next_sequence), waiter);
        self.next_sequence += 1;
        receiver
    }

    /// Claims an idle connection of the account, a new one, or one of another account to evict.
    pub fn claim(&mut self, account: &Arc<str>) -> Option<Claim> {
        if let Some(index) = self.idle_for(account) {
            return Some(Claim::Idle(self.idle.remove(index)));
        }
        if self.permits_in_use < self.connection_limit {
            self.permits_in_use += 1;
            return Some(Claim::New);
        }
        if self.idle.is_empty() {
            return None;
        }
        Some(Claim::Evict(self.idle.remove(0)))
    }

    /// Counts a connection as in use by an account.
    pub fn on_busy(&mut self, account: &Arc<str>) {
        *self.busy.entry(Arc::clone(account)).or_default() += 1;
    }

    /// Counts a connection of an account as no longer in use.
    pub fn on_free(&mut self, account: &Arc<str>) {
        let left = self.busy.get(account).map_or(0, |busy| busy - 1);
        if left == 0 {
            self.busy.remove(account);
        } else {
            self.busy.insert(Arc::clone(account), left);
        }
    }
}

/// What a request may use.
pub enum Claim {
    /// An idle connection of its account.
    Idle(Connection),
    /// A permit for a new connection.
    New,
    /// An idle connection of another account, which is closed to make room.
    Evict(Connection),
}
