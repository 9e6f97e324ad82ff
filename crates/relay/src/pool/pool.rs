//! The connection pool of one server.

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
use crate::external::Connector;
use crate::external::Target;
use crate::group::Health;
use crate::message::Code;
use crate::node::Share;
use crate::node::lock;
use crate::pool::Admission;
use crate::pool::Connection;
use crate::pool::Permit;
use crate::pool::queue::Claim;
use crate::pool::queue::Grant;
use crate::pool::queue::Queue;
use crate::pool::queue::Waiter;
use crate::schedule::Overload;

/// Time limit for opening a connection; the server needs 10 to 30 ms of a free slot for it.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);

/// An overload ends once no request waits and none was refused for this long; a queue that is empty
/// for moments only would else write two lines each time.
const OVERLOAD_PERIOD: Span = Span::from_secs(1);

/// Whether a request got a connection at once or was queued.
enum Acquisition {
    Ready(Grant),
    Queued(oneshot::Receiver<Grant>),
}

/// The connections of one instance to one server; each carries the statements of one account.
pub struct Pool {
    target: Target,
    connector: Arc<dyn Connector>,
    pub(super) health: Arc<Mutex<Health>>,
    pub(super) clock: Arc<dyn Clock>,
    queue: Mutex<Queue>,
}

impl Pool {
    /// Opens a pool without connections.
    pub fn open(
        target: Target,
        connector: Arc<dyn Connector>,
        health: Arc<Mutex<Health>>,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        Arc::new(Self {
            target,
            connector,
            health,
            clock,
            queue: Mutex::new(Queue::open()),
        })
    }

    /// Returns the server's id.
    pub fn server(&self) -> &Arc<str> {
        &self.target.server
    }

    /// Sets the maximum numbers of connections and of concurrent statements.
    pub fn set_limits(self: &Arc<Self>, connections: usize, statements: usize) {
        {
            let mut queue = lock(&self.queue);
            queue.connection_limit = connections.max(1);
            queue.statement_limit = statements.max(1);
        }
        self.dispatch();
    }

    /// Applies this instance's share of the server's connections and the maximum number of
    /// concurrent statements, and closes connections that have been idle for too long.
    pub fn set_share(self: &Arc<Self>, now: Time, share: Share, statements: usize) {
        let expired = {
            let mut queue = lock(&self.queue);
            let idle_timeout = queue.usage.idle_timeout(now, share);
            queue.take_idle_since(now, idle_timeout)
        };
        drop(expired);
        self.set_limits(share.connections(), statements);
    }

    /// Closes the idle connections; the others close when they are returned.
    pub fn close(&self) {
        let (idle, waiters) = {
            let mut queue = lock(&self.queue);
            queue.is_closed = true;
            (
                std::mem::take(&mut queue.idle),
                std::mem::take(&mut queue.waiters),
            )
        };
        drop(idle);
        drop(waiters);
    }

    /// Returns whether an account has an idle connection.
    pub fn has_idle(&self, account: &str) -> bool {
        lock(&self.queue).idle_for(account).is_some()
    }

    /// Returns whether a request of the account would start at once.
    pub fn has_room(&self, account: &str) -> bool {
        let queue = lock(&self.queue);
        let has_connection =
            queue.idle_for(account).is_some() || queue.permits_in_use < queue.connection_limit;
        queue.waiters.is_empty() && queue.running() < queue.statement_limit && has_connection
    }

    /// Returns the number of queued requests.
    pub fn queue_len(&self) -> usize {
        lock(&self.queue).waiters.len()
    }

    /// Returns the number of connections that are open or being opened.
    pub fn permits_in_use(&self) -> usize {
        lock(&self.queue).permits_in_use
    }

    /// Takes an idle connection of an account or opens one.
    ///
    /// Returns `Error::Overloaded` at once if the queue is too old, or after the longest wait.
    pub async fn acquire(
        self: &Arc<Self>,
        account: &Arc<str>,
        priority: u32,
        admission: Admission,
    ) -> Result<Connection, Error> {
        let begun = self.clock.now();
        let grant = match self.take_or_enqueue(account, priority, &admission)? {
            Acquisition::Ready(grant) => grant,
            Acquisition::Queued(receiver) => {
                let until = admission
                    .deadline
                    .min(Instant::now() + admission.max_wait.into());
                match timeout_at(until, receiver).await {
                    Ok(Ok(grant)) => grant,
                    Ok(Err(_)) => return Err(self.unavailable()),
                    Err(_) => {
                        self.on_wait(begun);
                        let now = self.clock.now();
                        let mut queue = lock(&self.queue);
                        return Err(self.overloaded(now, &mut queue, priority, &admission));
                    }
                }
            }
        };
        self.on_wait(begun);
        self.open_or_reuse(grant, account, admission.deadline).await
    }

    /// Records how long a request has waited, which the placement of reads considers.
    fn on_wait(&self, begun: Time) {
        lock(&self.health).record.on_wait(self.clock.now(), begun);
    }

    /// Returns the granted connection if it is reusable, otherwise opens one with its permit.
    async fn open_or_reuse(
        self: &Arc<Self>,
        grant: Grant,
        account: &Arc<str>,
        deadline: Instant,
    ) -> Result<Connection, Error> {
        let permit = match grant {
            Grant::Permit(permit) => permit,
            Grant::Connection(mut connection) => {
                if self.is_reusable(&mut connection) {
                    return Ok(connection);
                }
                connection.into_permit()
            }
        };
        self.connect(permit, account, deadline).await
    }

    /// Takes an idle connection of any account, or opens one if the limit allows it.
    ///
    /// It never queues: it serves administrative requests, which take no slot of the server.
    pub async fn acquire_any(
        self: &Arc<Self>,
        account: &Arc<str>,
        deadline: Instant,
    ) -> Result<Connection, Error> {
        let grant = {
            let mut queue = lock(&self.queue);
            let claim = match queue.idle.pop() {
                _ if queue.is_closed => None,
                Some(connection) => Some(Claim::Idle(connection)),
                None if queue.permits_in_use < queue.connection_limit => queue.claim(account),
                None => None,
            };
            let Some(claim) = claim else {
                return Err(self.unavailable());
            };
            let account = match &claim {
                Claim::Idle(connection) => Arc::clone(&connection.account),
                _ => Arc::clone(account),
            };
            queue.on_busy(&account);
            drop(queue);
            self.grant(claim, &account)
        };
        self.open_or_reuse(grant, account, deadline).await
    }

    /// Returns a connection to the pool.
    pub(super) fn put_back(self: &Arc<Self>, mut connection: Connection) {
        connection.permit_mut().set_idle();
        {
            let mut queue = lock(&self.queue);
            if !queue.is_closed && queue.permits_in_use <= queue.connection_limit {
                queue.idle.push(connection);
            } else {
                drop(queue);
                drop(connection);
            }
        }
        self.dispatch();
    }

    /// Counts a connection as in use by an account.
    pub(super) fn on_busy(&self, account: &Arc<str>) {
        lock(&self.queue).on_busy(account);
    }

    /// Counts a connection of an account as no longer in use.
    pub(super) fn on_free(&self, account: &Arc<str>, busy_since: Time) {
        let used = self.clock.now().since(busy_since);
        let mut queue = lock(&self.queue);
        queue.on_free(account);
        // A grant to a request that had left was not used at all.
        if used > Span::ZERO {
            queue.forecast.on_served(used);
            queue.order.on_served(account, used);
        }
    }

    /// Releases a permit.
    pub(super) fn release_permit(self: &Arc<Self>) {
        lock(&self.queue).permits_in_use -= 1;
        self.dispatch();
    }

    /// Grants connections to queued requests.
    pub(super) fn dispatch(self: &Arc<Self>) {
        while let Some((waiter, grant)) = self.next_grant() {
            match waiter.sender.send(grant) {
                Ok(()) => {}
                // The request was cancelled while it was queued.
                Err(Grant::Connection(mut connection)) => {
                    connection.permit_mut().set_idle();
                    lock(&self.queue).idle.push(connection);
                }
                Err(Grant::Permit(permit)) => drop(permit),
            }
        }
    }

    fn next_grant(self: &Arc<Self>) -> Option<(Waiter, Grant)> {
        let mut queue = lock(&self.queue);
        if queue.running() >= queue.statement_limit {
            return None;
        }
        let now = self.clock.now();
        let Some(key) = queue.next_waiter() else {
            if queue.refused > 0 && now >= queue.overloaded_until {
                let refused = std::mem::take(&mut queue.refused);
                log::info!(
                    "event=overload-ended server={} refused={refused}",
                    self.target.server
                );
            }
            return None;
        };
        let account = Arc::clone(&queue.waiters.get(&key)?.account);
        let claim = queue.claim(&account)?;
        let waiter = queue.take(now, key)?;
        queue.on_busy(&account);
        drop(queue);
        Some((waiter, self.grant(claim, &account)))
    }

    /// Turns a claim that is already counted as busy into a grant.
    fn grant(self: &Arc<Self>, claim: Claim, account: &Arc<str>) -> Grant {
        match claim {
            Claim::Idle(mut connection) => {
                connection.permit_mut().mark_busy(account);
                Grant::Connection(connection)
            }
            Claim::New => {
                let mut permit = Permit::new(self);
                permit.mark_busy(account);
                Grant::Permit(permit)
            }
            Claim::Evict(connection) => {
                let mut permit = connection.into_permit();
                permit.mark_busy(account);
                Grant::Permit(permit)
            }
        }
    }

    fn take_or_enqueue(
        self: &Arc<Self>,
        account: &Arc<str>,
        priority: u32,
        admission: &Admission,
    ) -> Result<Acquisition, Error> {
        let now = self.clock.now();
        let mut queue = lock(&self.queue);
        if queue.is_closed {
            return Err(self.unavailable());
        }
        let connections = queue.permits_in_use;
        queue.usage.on_use(account, connections);
        if queue.is_hopeless(now, account, priority, admission) {
            return Err(self.overloaded(now, &mut queue, priority, admission));
        }
        let has_free_slot = queue.waiters.is_empty() && queue.running() < queue.statement_limit;
        let is_claimable = queue.idle_for(account).is_some() || !queue.is_worth_waiting(account);
        if has_free_slot
            && is_claimable
            && let Some(claim) = queue.claim(account)
        {
            queue.on_busy(account);
            drop(queue);
            return Ok(Acquisition::Ready(self.grant(claim, account)));
        }
        let receiver = queue.enqueue(now, account, priority, admission.max_wait);
        Ok(Acquisition::Queued(receiver))
    }

    /// Returns whether an idle connection can be used.
    fn is_reusable(&self, connection: &mut Connection) -> bool {
        // The server may have dropped a connection that was released before its last failure.
        connection.released > lock(&self.health).failed_at && connection.is_open()
    }

    async fn connect(
        self: &Arc<Self>,
        permit: Permit,
        account: &Arc<str>,
        deadline: Instant,
    ) -> Result<Connection, Error> {
        let begun = self.clock.now();
        if !lock(&self.health).may_connect(begun) {
            return Err(self.unavailable());
        }
        let mut target = self.target.clone();
        target.account = Arc::clone(account);
        let limit = deadline.min(Instant::now() + OPEN_TIMEOUT);
        let ticket = lock(&self.health).on_sent(begun);
        let opened = timeout_at(limit, self.connector.open(&target)).await;
        let now = self.clock.now();
        let mut health = lock(&self.health);
        health.on_end(ticket);
        let failure = match opened {
            Ok(Ok(connection)) => {
                health.on_reply(now, None);
                drop(health);
                return Ok(Connection::new(connection, permit, Arc::clone(account)));
            }
            Ok(Err(error @ Error::Refused { code, .. })) => {
                health.on_reply(now, None);
                if code == Code::TooManyConnections {
                    health.on_connections_exhausted(now);
                } else {
                    health.record.on_failure(now);
                }
                return Err(error);
            }
            Ok(Err(error)) => error,
            Err(_) => Error::Timeout {
                step: "open a connection",
                peer: self.target.server.to_string(),
            },
        };
        health.on_failure(now);
        Err(failure)
    }

    fn overloaded(
        &self,
        now: Time,
        queue: &mut Queue,
        priority: u32,
        admission: &Admission,
    ) -> Error {
        if queue.refused == 0 {
            log::info!(
                "event=overload-began server={} waiting={} running={}",
                self.target.server,
                queue.waiters.len(),
                queue.running()
            );
        }
        queue.refused += 1;
        queue.overloaded_until = now + OVERLOAD_PERIOD;
        let time_left = admission.deadline.saturating_duration_since(Instant::now());
        let overload = Overload {
            waiting: queue.waiting_before(priority),
            slots: queue.statement_limit.min(queue.connection_limit),
            max_queue_age: admission.max_queue_age,
            time_left: time_left.into(),
            salt: admission.salt,
        };
        Error::Overloaded {
            step: "wait for a connection",
            peer: self.target.server.to_string(),
            retry_after: queue.forecast.retry_after(now, &overload),
        }
    }

    fn unavailable(&self) -> Error {
        Error::Refused {
            step: "take a connection",
            peer: self.target.server.to_string(),
            code: Code::Busy,
            text: "the server was removed or has no connection to spare".to_owned(),
        }
    }
}
