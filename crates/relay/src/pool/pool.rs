//! The connections of one instance to one server.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use clock::Clock;
use clock::Span;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::Error;
use crate::external::Connector;
use crate::external::Target;
use crate::group::Vitals;
use crate::message::Code;
use crate::node::lock;
use crate::pool::Lane;
use crate::pool::Patience;
use crate::pool::Place;
use crate::pool::line::Grant;
use crate::pool::line::Line;
use crate::pool::line::Taken;
use crate::pool::line::Waiter;

/// Longest wait for a new connection; a server needs 10 to 30 ms of a free slot for one.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);

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
    line: Mutex<Line>,
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
            line: Mutex::new(Line::open()),
        })
    }

    /// Returns the server's id.
    pub fn server(&self) -> &Arc<str> {
        &self.target.server
    }

    /// Sets the most connections, and the most statements, at a time.
    pub fn set_limits(self: &Arc<Self>, connections: usize, statements: usize) {
        {
            let mut line = lock(&self.line);
            line.limit = connections.max(1);
            line.running_limit = statements.max(1);
        }
        self.dispatch();
    }

    /// Closes all connections that are not in use; the others close when they are given back.
    pub fn close(&self) {
        let (idle, waiters) = {
            let mut line = lock(&self.line);
            line.is_closed = true;
            (
                std::mem::take(&mut line.idle),
                std::mem::take(&mut line.waiters),
            )
        };
        drop(idle);
        drop(waiters);
    }

    /// Returns whether an unused connection for an account is there.
    pub fn has_idle(&self, account: &str) -> bool {
        lock(&self.line).idle_for(account).is_some()
    }

    /// Returns how many requests wait for a connection.
    pub fn queue_len(&self) -> usize {
        lock(&self.line).waiters.len()
    }

    /// Returns the connections that are open or being opened.
    pub fn taken(&self) -> usize {
        lock(&self.line).taken
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
            let mut line = lock(&self.line);
            let taken = match line.idle.pop() {
                _ if line.is_closed => None,
                Some(lane) => Some(Taken::Lane(lane)),
                None if line.taken < line.limit => line.take(account),
                None => None,
            };
            let Some(taken) = taken else {
                return Err(self.gone());
            };
            let account = match &taken {
                Taken::Lane(lane) => Arc::clone(&lane.account),
                _ => Arc::clone(account),
            };
            line.on_busy(&account);
            drop(line);
            self.grant(taken, &account)
        };
        self.carry_out(grant, account, deadline).await
    }

    /// Puts a connection back that is not in use any more.
    pub(super) fn put_back(self: &Arc<Self>, mut lane: Lane) {
        lane.place_mut().set_idle();
        {
            let mut line = lock(&self.line);
            if !line.is_closed && line.taken <= line.limit {
                line.idle.push(lane);
            } else {
                drop(line);
                drop(lane);
            }
        }
        self.dispatch();
    }

    /// Counts a connection in use for an account.
    pub(super) fn on_busy(&self, account: &Arc<str>) {
        lock(&self.line).on_busy(account);
    }

    /// Counts a connection that is not in use for an account any more.
    pub(super) fn on_free(&self, account: &Arc<str>) {
        lock(&self.line).on_free(account);
    }

    /// Frees a place.
    pub(super) fn leave(self: &Arc<Self>) {
        lock(&self.line).taken -= 1;
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
                    lock(&self.line).idle.push(lane);
                }
                Err(Grant::Place(place)) => drop(place),
            }
        }
    }

    fn next_turn(self: &Arc<Self>) -> Option<(Waiter, Grant)> {
        let mut line = lock(&self.line);
        if line.running() >= line.running_limit {
            return None;
        }
        let key = line.next_waiter()?;
        let account = Arc::clone(&line.waiters.get(&key)?.account);
        let taken = line.take(&account)?;
        let waiter = line.waiters.remove(&key)?;
        line.on_busy(&account);
        drop(line);
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
        longest_line: Span,
    ) -> Result<Turn, Error> {
        let now = self.clock.now();
        let mut line = lock(&self.line);
        if line.is_closed {
            return Err(self.gone());
        }
        // Who stands at the front of the line has waited for as long as the next one would.
        let longest = line.longest(priority);
        if longest.is_some_and(|since| now >= since + longest_line) {
            return Err(self.overloaded());
        }
        let has_turn = line.waiters.is_empty() && line.running() < line.running_limit;
        let may_take = line.idle_for(account).is_some() || !line.is_worth_waiting(account);
        if has_turn
            && may_take
            && let Some(taken) = line.take(account)
        {
            line.on_busy(account);
            drop(line);
            return Ok(Turn::Now(self.grant(taken, account)));
        }
        Ok(Turn::Later(line.wait(now, account, priority)))
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
            Ok(Err(error @ Error::Refused { code, .. })) => {
                vitals.on_reply(now, None);
                if code == Code::TooManyConnections {
                    vitals.on_crowded(now);
                }
                return Err(error);
            }
            Ok(Err(error)) => error,
            Err(_) => Error::Timeout {
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
