//! The connections of one instance to one server.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use clock::Clock;
use clock::Span;
use clock::Time;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::Error;
use crate::border::Connector;
use crate::border::Target;
use crate::group::Vitals;
use crate::message::Code;
use crate::node::lock;
use crate::pool::Lane;
use crate::pool::Patience;
use crate::pool::Place;

/// Longest wait for a new connection; a server needs 10 to 30 ms of a free slot for one.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Connections that an instance may hold before its share is known.
const FIRST_LIMIT: usize = 2;

/// So many statements in a row may go before one that has waited longer, because a connection for
/// their account is free. Opening one takes the server as long as a statement, so that changing
/// accounts costs it no more than about a tenth of its time.
const STREAK_MAX: u32 = 8;

/// What a waiting request gets.
pub(super) enum Grant {
    /// A connection for its account.
    Lane(Lane),
    /// The right to open one.
    Place(Place),
}

struct Waiter {
    account: Arc<str>,
    /// When it began to wait.
    since: Time,
    sender: oneshot::Sender<Grant>,
}

struct Inner {
    /// The most connections at a time.
    limit: usize,
    /// The most statements at a time.
    running_limit: usize,
    /// Places taken, by open connections and those being opened.
    taken: usize,
    /// Connections in use, by account.
    busy: BTreeMap<Arc<str>, usize>,
    /// Connections not in use, the latest used last.
    idle: Vec<Lane>,
    /// Requests that wait, by priority and order.
    waiters: BTreeMap<(u32, u64), Waiter>,
    next: u64,
    is_closed: bool,
}

impl Inner {
    fn running(&self) -> usize {
        self.busy.values().sum()
    }

    /// Returns whether a connection of the account is likely to be free before one is opened.
    fn is_worth_waiting(&self, account: &Arc<str>) -> bool {
        let busy = self.busy.get(account).copied().unwrap_or_default();
        let waiting = self
            .waiters
            .values()
            .filter(|waiter| waiter.account == *account)
            .count();
        self.taken >= self.limit && waiting < busy
    }

    /// Returns the place of an idle connection for an account, the latest used one.
    fn idle_for(&self, account: &str) -> Option<usize> {
        self.idle.iter().rposition(|lane| *lane.account == *account)
    }

    /// Returns the waiter whose turn it is.
    ///
    /// It is the first one of the highest priority, unless connections are free for others of that
    /// priority and have not been preferred for too long.
    fn next_waiter(&mut self) -> Option<(u32, u64)> {
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

    /// Takes what a request of an account can go on with, but for connections in use.
    fn take(&mut self, account: &Arc<str>) -> Option<Taken> {
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

    fn on_busy(&mut self, account: &Arc<str>) {
        *self.busy.entry(Arc::clone(account)).or_default() += 1;
    }

    fn on_free(&mut self, account: &Arc<str>) {
        let left = self.busy.get(account).map_or(0, |busy| busy - 1);
        if left == 0 {
            self.busy.remove(account);
        } else {
            self.busy.insert(Arc::clone(account), left);
        }
    }
}

/// What a request can go on with.
enum Taken {
    /// A connection for its account.
    Lane(Lane),
    /// A place for a new connection.
    Room,
    /// A connection of another account, to close.
    Other(Lane),
}

/// When a request gets what it asked for.
enum Turn {
    Now(Grant),
    Later(oneshot::Receiver<Grant>),
}

/// The connections of one instance to one server; each carries one account's statements.
pub struct Pool {
    target: Target,
    connector: Arc<dyn Connector>,
    pub(super) vitals: Arc<Mutex<Vitals>>,
    pub(super) clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
}

impl Pool {
    /// Opens a pool without connections.
    pub fn open(
        target: Target,
        connector: Arc<dyn Connector>,
        vitals: Arc<Mutex<Vitals>>,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        Arc::new(Self {
            target,
            connector,
            vitals,
            clock,
            inner: Mutex::new(Inner {
                limit: FIRST_LIMIT,
                running_limit: FIRST_LIMIT,
                taken: 0,
                idle: Vec::new(),
                busy: BTreeMap::new(),
                waiters: BTreeMap::new(),
                next: 0,
                is_closed: false,
            }),
        })
    }

    /// Returns the server's id.
    pub fn server(&self) -> &Arc<str> {
        &self.target.server
    }

    /// Sets the most connections, and the most statements, at a time.
    pub fn set_limits(self: &Arc<Self>, connections: usize, statements: usize) {
        {
            let mut inner = lock(&self.inner);
            inner.limit = connections.max(1);
            inner.running_limit = statements.max(1);
        }
        self.dispatch();
    }

    /// Closes all connections that are not in use; the others close when they are given back.
    pub fn close(&self) {
        let (idle, waiters) = {
            let mut inner = lock(&self.inner);
            inner.is_closed = true;
            (
                std::mem::take(&mut inner.idle),
                std::mem::take(&mut inner.waiters),
            )
        };
        drop(idle);
        drop(waiters);
    }

    /// Returns whether an unused connection for an account is there.
    pub fn has_idle(&self, account: &str) -> bool {
        lock(&self.inner)
            .idle
            .iter()
            .any(|lane| *lane.account == *account)
    }

    /// Returns how many requests wait for a connection.
    pub fn waiting(&self) -> usize {
        lock(&self.inner).waiters.len()
    }

    /// Returns the connections that are open or being opened.
    pub fn taken(&self) -> usize {
        lock(&self.inner).taken
    }

    /// Takes a connection for an account, or opens one.
    ///
    /// Returns `Error::Overloaded` at once if the wait is likely to be too long, or when it was.
    pub async fn acquire(
        self: &Arc<Self>,
        account: &Arc<str>,
        priority: u32,
        patience: Patience,
    ) -> Result<Lane, Error> {
        let grant = match self.take_or_wait(account, priority, patience.line)? {
            Turn::Now(grant) => grant,
            Turn::Later(receiver) => {
                let until = patience.deadline.min(Instant::now() + patience.wait.into());
                match timeout_at(until, receiver).await {
                    Ok(Ok(grant)) => grant,
                    Ok(Err(_)) => return Err(self.gone()),
                    Err(_) => return Err(self.overloaded()),
                }
            }
        };
        self.carry_out(grant, account, patience.deadline).await
    }

    /// Makes a usable connection of what a request got.
    async fn carry_out(
        self: &Arc<Self>,
        grant: Grant,
        account: &Arc<str>,
        deadline: Instant,
    ) -> Result<Lane, Error> {
        let place = match grant {
            Grant::Place(place) => place,
            Grant::Lane(mut lane) => {
                if self.is_sound(&mut lane) {
                    return Ok(lane);
                }
                lane.into_place()
            }
        };
        self.connect(place, account, deadline).await
    }

    /// Takes a connection of any account that is not in use, or opens one if there is room.
    ///
    /// It is for questions that take no slot of the server, so it waits for nobody's turn.
    pub async fn acquire_any(
        self: &Arc<Self>,
        account: &Arc<str>,
        deadline: Instant,
    ) -> Result<Lane, Error> {
        let grant = {
            let mut inner = lock(&self.inner);
            let taken = match inner.idle.pop() {
                _ if inner.is_closed => None,
                Some(lane) => Some(Taken::Lane(lane)),
                None if inner.taken < inner.limit => inner.take(account),
                None => None,
            };
            let Some(taken) = taken else {
                return Err(self.gone());
            };
            let account = match &taken {
                Taken::Lane(lane) => Arc::clone(&lane.account),
                _ => Arc::clone(account),
            };
            inner.on_busy(&account);
            drop(inner);
            self.grant(taken, &account)
        };
        self.carry_out(grant, account, deadline).await
    }

    /// Puts a connection back that is not in use any more.
    pub(super) fn put_back(self: &Arc<Self>, mut lane: Lane) {
        lane.place_mut().set_idle();
        {
            let mut inner = lock(&self.inner);
            if !inner.is_closed && inner.taken <= inner.limit {
                inner.idle.push(lane);
            } else {
                drop(inner);
                drop(lane);
            }
        }
        self.dispatch();
    }

    /// Counts a connection in use for an account.
    pub(super) fn on_busy(&self, account: &Arc<str>) {
        lock(&self.inner).on_busy(account);
    }

    /// Counts a connection that is not in use for an account any more.
    pub(super) fn on_free(&self, account: &Arc<str>) {
        lock(&self.inner).on_free(account);
    }

    /// Frees a place.
    pub(super) fn leave(self: &Arc<Self>) {
        lock(&self.inner).taken -= 1;
        self.dispatch();
    }

    /// Gives turns to requests that wait.
    pub(super) fn dispatch(self: &Arc<Self>) {
        while let Some((waiter, grant)) = self.next_turn() {
            match waiter.sender.send(grant) {
                Ok(()) => {}
                // The request has given up meanwhile.
                Err(Grant::Lane(mut lane)) => {
                    lane.place_mut().set_idle();
                    lock(&self.inner).idle.push(lane);
                }
                Err(Grant::Place(place)) => drop(place),
            }
        }
    }

    fn next_turn(self: &Arc<Self>) -> Option<(Waiter, Grant)> {
        let mut inner = lock(&self.inner);
        if inner.running() >= inner.running_limit {
            return None;
        }
        let key = inner.next_waiter()?;
        let account = Arc::clone(&inner.waiters.get(&key)?.account);
        let taken = inner.take(&account)?;
        let waiter = inner.waiters.remove(&key)?;
        inner.on_busy(&account);
        drop(inner);
        Some((waiter, self.grant(taken, &account)))
    }

    /// Turns what was taken into what a request gets; it counts as busy already.
    fn grant(self: &Arc<Self>, taken: Taken, account: &Arc<str>) -> Grant {
        match taken {
            Taken::Lane(mut lane) => {
                lane.place_mut().mark_busy(account);
                Grant::Lane(lane)
            }
            Taken::Room => {
                let mut place = Place::new(self);
                place.mark_busy(account);
                Grant::Place(place)
            }
            Taken::Other(lane) => {
                let mut place = lane.into_place();
                place.mark_busy(account);
                Grant::Place(place)
            }
        }
    }

    fn take_or_wait(
        self: &Arc<Self>,
        account: &Arc<str>,
        priority: u32,
        line: Span,
    ) -> Result<Turn, Error> {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        if inner.is_closed {
            return Err(self.gone());
        }
        // Who stands at the front of the line has waited for as long as the next one would.
        let longest = inner
            .waiters
            .range(..(priority + 1, 0))
            .map(|(_, waiter)| waiter.since)
            .min();
        if longest.is_some_and(|since| now >= since + line) {
            return Err(self.overloaded());
        }
        let has_turn = inner.waiters.is_empty() && inner.running() < inner.running_limit;
        let may_take = inner.idle_for(account).is_some() || !inner.is_worth_waiting(account);
        if has_turn
            && may_take
            && let Some(taken) = inner.take(account)
        {
            inner.on_busy(account);
            drop(inner);
            return Ok(Turn::Now(self.grant(taken, account)));
        }
        let (sender, receiver) = oneshot::channel();
        let key = (priority, inner.next);
        inner.next += 1;
        let account = Arc::clone(account);
        let waiter = Waiter {
            account,
            since: now,
            sender,
        };
        inner.waiters.insert(key, waiter);
        Ok(Turn::Later(receiver))
    }

    /// Returns whether a connection that rested can be used.
    fn is_sound(&self, lane: &mut Lane) -> bool {
        // A connection from before a failure may be one that the server has dropped since.
        lane.rested > lock(&self.vitals).failed && lane.is_open()
    }

    async fn connect(
        self: &Arc<Self>,
        place: Place,
        account: &Arc<str>,
        deadline: Instant,
    ) -> Result<Lane, Error> {
        let begun = self.clock.now();
        if !lock(&self.vitals).may_connect(begun) {
            return Err(self.gone());
        }
        let mut target = self.target.clone();
        target.account = Arc::clone(account);
        let limit = deadline.min(Instant::now() + OPEN_TIMEOUT);
        let ticket = lock(&self.vitals).on_sent(begun);
        let opened = timeout_at(limit, self.connector.open(&target)).await;
        let now = self.clock.now();
        let mut vitals = lock(&self.vitals);
        vitals.on_end(ticket);
        let failure = match opened {
            Ok(Ok(connection)) => {
                vitals.on_reply(now, None);
                drop(vitals);
                return Ok(Lane::new(connection, place, Arc::clone(account)));
            }
            Ok(Err(Error::Refused {
                step,
                peer,
                code,
                text,
            })) => {
                vitals.on_reply(now, None);
                if code == Code::TooManyConnections {
                    vitals.on_crowded(now);
                }
                return Err(Error::Refused {
                    step,
                    peer,
                    code,
                    text,
                });
            }
            Ok(Err(error)) => error,
            Err(_) => Error::Silent {
                step: "open a connection",
                peer: self.target.server.to_string(),
            },
        };
        vitals.on_failure(now);
        Err(failure)
    }

    fn overloaded(&self) -> Error {
        Error::Overloaded {
            step: "wait for a connection",
            peer: self.target.server.to_string(),
        }
    }

    fn gone(&self) -> Error {
        Error::Refused {
            step: "take a connection",
            peer: self.target.server.to_string(),
            code: Code::Busy,
            text: "the server is gone or has no room".to_owned(),
        }
    }
}
