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
use crate::pool::Place;

/// Longest wait for a new connection; a server needs 10 to 30 ms of a free slot for one.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Connections that an instance may hold before its share is known.
const FIRST_LIMIT: usize = 2;

/// So many requests wait for a connection of their account before another account's is closed for
/// them; opening one takes about as long as this many statements.
const WORTH_WAITING: usize = 4;
/// A request that has waited this long goes before later ones of the account whose connection is
/// free.
const FAIR_WAIT: Span = Span::from_millis(100);

/// What a waiting request gets.
pub(super) enum Grant {
    /// A connection for its account.
    Lane(Lane),
    /// The right to open one.
    Place(Place),
}

struct Waiter {
    account: Arc<str>,
    since: Time,
    sender: oneshot::Sender<Grant>,
}

struct Inner {
    /// The most connections at a time.
    limit: usize,
    /// Places taken, by open connections and those being opened.
    taken: usize,
    /// Connections not in use, the latest used last.
    idle: Vec<Lane>,
    /// Connections in use, by account.
    busy: BTreeMap<Arc<str>, usize>,
    /// Requests that wait, by priority and order.
    waiters: BTreeMap<(u32, u64), Waiter>,
    next: u64,
    is_closed: bool,
}

impl Inner {
    /// Returns whether a connection of the account is likely to be free soon.
    ///
    /// Opening one in the place of another account's takes the server as long as a statement.
    fn is_worth_waiting(&self, account: &Arc<str>) -> bool {
        let busy = self.busy.get(account).copied().unwrap_or_default();
        let waiting = self
            .waiters
            .values()
            .filter(|waiter| waiter.account == *account)
            .count();
        waiting < busy * WORTH_WAITING
    }
}

enum Taken {
    Lane(Lane),
    Place(Place),
    Wait(oneshot::Receiver<Grant>),
    Closed,
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

    /// Sets the most connections at a time.
    pub fn set_limit(self: &Arc<Self>, limit: usize) {
        lock(&self.inner).limit = limit.max(1);
        self.hand_on();
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
    pub async fn acquire(
        self: &Arc<Self>,
        account: &Arc<str>,
        priority: u32,
        deadline: Instant,
    ) -> Result<Lane, Error> {
        match self.take(account, priority) {
            Taken::Lane(lane) => Ok(lane),
            Taken::Place(place) => self.connect(place, account, deadline).await,
            Taken::Wait(receiver) => {
                let granted = timeout_at(deadline, receiver).await;
                match granted {
                    Ok(Ok(Grant::Lane(lane))) => Ok(lane),
                    Ok(Ok(Grant::Place(place))) => self.connect(place, account, deadline).await,
                    Ok(Err(_)) => Err(self.gone()),
                    Err(_) => Err(Error::Refused {
                        step: "wait for a connection",
                        peer: self.target.server.to_string(),
                        code: Code::Busy,
                        text: "all connections are in use".to_owned(),
                    }),
                }
            }
            Taken::Closed => Err(self.gone()),
        }
    }

    /// Takes a connection of any account that is not in use, or opens one if there is room.
    pub async fn acquire_any(
        self: &Arc<Self>,
        account: &Arc<str>,
        deadline: Instant,
    ) -> Result<Lane, Error> {
        let lane = self.take_idle(|_| true);
        if let Some(lane) = lane {
            return Ok(lane);
        }
        let place = {
            let mut inner = lock(&self.inner);
            if inner.is_closed || inner.taken >= inner.limit {
                return Err(self.gone());
            }
            inner.taken += 1;
            Place::new(self)
        };
        self.connect(place, account, deadline).await
    }

    /// Puts a connection back that is not in use any more.
    pub(super) fn put_back(self: &Arc<Self>, lane: Lane) {
        let mut lane = Some(lane);
        while let Some(mut current) = lane.take() {
            current.place_mut().set_idle();
            let now = self.clock.now();
            let waiter = {
                let mut inner = lock(&self.inner);
                let is_over = inner.is_closed || inner.taken > inner.limit;
                if is_over {
                    None
                } else if let Some(key) = next_waiter(&inner, &current.account, now) {
                    inner.waiters.remove(&key)
                } else {
                    inner.idle.push(current);
                    return;
                }
            };
            let Some(waiter) = waiter else {
                // The connection closes, and its place goes on to who waits.
                return;
            };
            let grant = if waiter.account == current.account {
                current.place_mut().set_busy(&waiter.account);
                Grant::Lane(current)
            } else {
                Grant::Place(current.into_place())
            };
            if let Err(returned) = waiter.sender.send(grant) {
                match returned {
                    Grant::Lane(returned) => lane = Some(returned),
                    Grant::Place(place) => drop(place),
                }
            }
        }
    }

    /// Counts a connection in use for an account.
    pub(super) fn on_busy(&self, account: &Arc<str>) {
        let mut inner = lock(&self.inner);
        *inner.busy.entry(Arc::clone(account)).or_default() += 1;
    }

    /// Counts a connection that is not in use for an account any more.
    pub(super) fn on_free(&self, account: &Arc<str>) {
        let mut inner = lock(&self.inner);
        let left = inner.busy.get(account).map_or(0, |busy| busy - 1);
        if left == 0 {
            inner.busy.remove(account);
        } else {
            inner.busy.insert(Arc::clone(account), left);
        }
    }

    /// Frees a place.
    pub(super) fn leave(self: &Arc<Self>) {
        lock(&self.inner).taken -= 1;
        self.hand_on();
    }

    /// Gives free places to requests that wait.
    fn hand_on(self: &Arc<Self>) {
        loop {
            let waiter = {
                let mut inner = lock(&self.inner);
                if inner.taken >= inner.limit {
                    return;
                }
                let Some((_, waiter)) = inner.waiters.pop_first() else {
                    return;
                };
                inner.taken += 1;
                waiter
            };
            if let Err(Grant::Place(place)) = waiter.sender.send(Grant::Place(Place::new(self))) {
                place.forget();
                lock(&self.inner).taken -= 1;
            }
        }
    }

    fn take(self: &Arc<Self>, account: &Arc<str>, priority: u32) -> Taken {
        if let Some(lane) = self.take_idle(|lane| lane.account == *account) {
            return Taken::Lane(lane);
        }
        let evicted = {
            let mut inner = lock(&self.inner);
            if inner.is_closed {
                return Taken::Closed;
            }
            if inner.taken < inner.limit {
                inner.taken += 1;
                return Taken::Place(Place::new(self));
            }
            if inner.idle.is_empty() || inner.is_worth_waiting(account) {
                let (sender, receiver) = oneshot::channel();
                let key = (priority, inner.next);
                inner.next += 1;
                let waiter = Waiter {
                    account: Arc::clone(account),
                    since: self.clock.now(),
                    sender,
                };
                inner.waiters.insert(key, waiter);
                return Taken::Wait(receiver);
            }
            inner.idle.remove(0)
        };
        Taken::Place(evicted.into_place())
    }

    /// Takes the latest used connection that fits, dropping those that the server has closed.
    fn take_idle(self: &Arc<Self>, fits: impl Fn(&Lane) -> bool) -> Option<Lane> {
        loop {
            let mut lane = {
                let mut inner = lock(&self.inner);
                let index = inner.idle.iter().rposition(&fits)?;
                inner.idle.remove(index)
            };
            // A connection from before a failure may be one that the server has dropped since.
            let is_older = lane.rested <= lock(&self.vitals).failed;
            if !is_older && lane.is_open() {
                let account = Arc::clone(&lane.account);
                lane.place_mut().set_busy(&account);
                return Some(lane);
            }
        }
    }

    async fn connect(
        self: &Arc<Self>,
        mut place: Place,
        account: &Arc<str>,
        deadline: Instant,
    ) -> Result<Lane, Error> {
        place.set_busy(account);
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

    fn gone(&self) -> Error {
        Error::Refused {
            step: "take a connection",
            peer: self.target.server.to_string(),
            code: Code::Busy,
            text: "the server is gone or has no room".to_owned(),
        }
    }
}

/// Returns the waiter of the highest priority, one of the same account if there is one and no
/// other has waited for long.
fn next_waiter(inner: &Inner, account: &Arc<str>, now: Time) -> Option<(u32, u64)> {
    let (first, head) = inner.waiters.first_key_value()?;
    if now >= head.since + FAIR_WAIT {
        return Some(*first);
    }
    inner
        .waiters
        .iter()
        .take_while(|((priority, _), _)| *priority == first.0)
        .find(|(_, waiter)| waiter.account == *account)
        .map(|(key, _)| *key)
        .or(Some(*first))
}
