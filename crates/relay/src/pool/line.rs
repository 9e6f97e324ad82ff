//! The requests that wait for a server, and the connections that they can go on with.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Time;
use tokio::sync::oneshot;

use crate::pool::Lane;
use crate::pool::Place;

/// Connections that an instance may hold before its share is known.
const FIRST_LIMIT: usize = 2;
/// So many statements in a row may go before one that has waited longer, because a connection for
/// their account is free. Opening one takes the server as long as a statement, so that changing
/// accounts costs it no more than about a tenth of its time.
const STREAK_MAX: u32 = 8;

/// What a waiting request gets.
pub enum Grant {
    /// A connection for its account.
    Lane(Lane),
    /// The right to open one.
    Place(Place),
}

/// A request that waits.
pub struct Waiter {
    /// Its account.
    pub account: Arc<str>,
    /// When it began to wait.
    pub since: Time,
    /// Where to hand its turn.
    pub sender: oneshot::Sender<Grant>,
}

/// The requests that wait for a server, and the connections that they can go on with.
pub struct Line {
    /// The most connections at a time.
    pub limit: usize,
    /// The most statements at a time.
    pub running_limit: usize,
    /// Places taken, by open connections and those being opened.
    pub taken: usize,
    /// Connections in use, by account.
    busy: BTreeMap<Arc<str>, usize>,
    /// Connections not in use, the latest used last.
    pub idle: Vec<Lane>,
    /// Requests that wait, by priority and order.
    pub waiters: BTreeMap<(u32, u64), Waiter>,
    /// The order of the next request.
    next: u64,
    /// Whether the server is gone.
    pub is_closed: bool,
}

impl Line {
    /// Opens a line before a server without connections.
    pub fn open() -> Self {
        Self {
            limit: FIRST_LIMIT,
            running_limit: FIRST_LIMIT,
            taken: 0,
            busy: BTreeMap::new(),
            idle: Vec::new(),
            waiters: BTreeMap::new(),
            next: 0,
            is_closed: false,
        }
    }

    /// Returns how many connections are in use.
    pub fn running(&self) -> usize {
        self.busy.values().sum()
    }

    /// Returns whether a connection of the account is likely to be free before one is opened.
    pub fn is_worth_waiting(&self, account: &Arc<str>) -> bool {
        let busy = self.busy.get(account).copied().unwrap_or_default();
        let waiting = self
            .waiters
            .values()
            .filter(|waiter| waiter.account == *account)
            .count();
        self.taken >= self.limit && waiting < busy
    }

    /// Returns the place of an idle connection for an account, the latest used one.
    pub fn idle_for(&self, account: &str) -> Option<usize> {
        self.idle.iter().rposition(|lane| *lane.account == *account)
    }

    /// Returns the waiter whose turn it is.
    ///
    /// It is the first one of the highest priority, unless connections are free for others of that
    /// priority and have not been preferred for too long.
    pub fn next_waiter(&mut self) -> Option<(u32, u64)> {
        let (first, head) = self.waiters.first_key_value()?;
        let first = *first;
        if self.idle_for(&head.account).is_some() {
            return Some(first);
        }
        let preferred = self
            .waiters
            .iter()
            .take_while(|((priority, _), _)| *priority == first.0)
            .find_map(|(key, waiter)| Some((*key, self.idle_for(&waiter.account)?)));
        let Some((key, index)) = preferred else {
            return Some(first);
        };
        let lane = &mut self.idle[index];
        lane.streak += 1;
        if lane.streak <= STREAK_MAX {
            return Some(key);
        }
        lane.streak = 0;
        Some(first)
    }

    /// Returns when the request began to wait that has waited longest among those that go before a
    /// new one of `priority`.
    pub fn longest(&self, priority: u32) -> Option<Time> {
        self.waiters
            .range(..(priority + 1, 0))
            .map(|(_, waiter)| waiter.since)
            .min()
    }

    /// Lets a request wait; its turn comes through the receiver.
    pub fn wait(
        &mut self,
        now: Time,
        account: &Arc<str>,
        priority: u32,
    ) -> oneshot::Receiver<Grant> {
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            account: Arc::clone(account),
            since: now,
            sender,
        };
        self.waiters.insert((priority, self.next), waiter);
        self.next += 1;
        receiver
    }

    /// Takes what a request of an account can go on with, but for connections in use.
    pub fn take(&mut self, account: &Arc<str>) -> Option<Taken> {
        if let Some(index) = self.idle_for(account) {
            return Some(Taken::Lane(self.idle.remove(index)));
        }
        if self.taken < self.limit {
            self.taken += 1;
            return Some(Taken::Room);
        }
        if self.idle.is_empty() {
            return None;
        }
        Some(Taken::Other(self.idle.remove(0)))
    }

    /// Counts a connection in use for an account.
    pub fn on_busy(&mut self, account: &Arc<str>) {
        *self.busy.entry(Arc::clone(account)).or_default() += 1;
    }

    /// Counts a connection that is not in use for an account any more.
    pub fn on_free(&mut self, account: &Arc<str>) {
        let left = self.busy.get(account).map_or(0, |busy| busy - 1);
        if left == 0 {
            self.busy.remove(account);
        } else {
            self.busy.insert(Arc::clone(account), left);
        }
    }
}

/// What a request can go on with.
pub enum Taken {
    /// A connection for its account.
    Lane(Lane),
    /// A place for a new connection.
    Room,
    /// A connection of another account, to close.
    Other(Lane),
}
