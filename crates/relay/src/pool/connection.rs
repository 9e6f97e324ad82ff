//! A pooled connection and the session state that the server holds for it.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Time;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::Error;
use crate::external;
use crate::external::Status;
use crate::message::Code;
use crate::message::Definition;
use crate::message::Reply;
use crate::message::Request;
use crate::message::State;
use crate::message::Statement;
use crate::node::lock;
use crate::pool::Permit;

/// A pooled connection to a server; it carries the statements of one account.
pub struct Connection {
    inner: Box<dyn external::Connection>,
    permit: Permit,
    /// The account whose statements the connection carries.
    pub account: Arc<str>,
    /// The session values that the server holds.
    values: BTreeMap<Arc<str>, Arc<str>>,
    /// The names of the prepared statements that the server holds.
    prepared: BTreeMap<Definition, Arc<str>>,
    next_name: u64,
    /// Replies that are outstanding; the connection isn't reused while there are any.
    unanswered: usize,
    state: State,
    /// How often in a row a request of its account overtook one that had waited longer.
    pub(super) reuse_streak: u32,
    /// When the connection was last returned to the pool.
    pub(super) released: Time,
}

impl Connection {
    pub(super) fn new(
        inner: Box<dyn external::Connection>,
        permit: Permit,
        account: Arc<str>,
    ) -> Self {
        Self {
            inner,
            permit,
            account,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            next_name: 0,
            unanswered: 0,
            state: State::Idle,
            reuse_streak: 0,
            released: Time::ZERO,
        }
    }

    /// Returns the server's id.
    pub fn server(&self) -> &Arc<str> {
        self.permit.pool().server()
    }

    /// Returns the requests that align the server's session state with the caller's session.
    ///
    /// The connection records them as done, so it must be dropped unless all of them succeed.
    pub fn sync_requests(
        &mut self,
        values: &BTreeMap<Arc<str>, Arc<str>>,
        definition: Option<&Definition>,
    ) -> Vec<Request> {
        let mut requests = Vec::new();
        if self.values.keys().any(|name| !values.contains_key(name)) {
            self.values.clear();
            self.prepared.clear();
            requests.push(Request::internal(Statement::Reset));
        }
        for (name, value) in values {
            if self.values.get(name) == Some(value) {
                continue;
            }
            self.values.insert(Arc::clone(name), Arc::clone(value));
            requests.push(Request::internal(Statement::Set {
                name: Arc::clone(name),
                value: Arc::clone(value),
            }));
        }
        if let Some(definition) = definition
            && !self.prepared.contains_key(definition)
        {
            self.next_name += 1;
            let name: Arc<str> = Arc::from(format!("p{}", self.next_name));
            self.prepared.insert(definition.clone(), Arc::clone(&name));
            requests.push(Request::internal(Statement::Prepare {
                name,
                definition: definition.clone(),
            }));
        }
        requests
    }

    /// Returns the name of a prepared statement that the server holds.
    pub fn statement_name(&self, definition: &Definition) -> Option<Arc<str>> {
        self.prepared.get(definition).cloned()
    }

    /// Pipelines requests and receives all replies.
    ///
    /// After an error the connection must be dropped.
    pub async fn exchange(
        &mut self,
        requests: &[Request],
        deadline: Instant,
    ) -> Result<Vec<Reply>, Error> {
        self.run(requests, deadline, true).await
    }

    /// Pipelines requests and receives all replies; commits are not measured, since they also wait
    /// for replicas.
    async fn run(
        &mut self,
        requests: &[Request],
        deadline: Instant,
        is_measured: bool,
    ) -> Result<Vec<Reply>, Error> {
        let pool = Arc::clone(self.permit.pool());
        let sent = pool.clock.now();
        let ticket = lock(&pool.health).on_sent(sent);
        let ended = BatchGuard {
            pool: &pool,
            ticket,
        };
        self.unanswered += requests.len();
        let exchanged = timeout_at(deadline, self.send_and_receive(requests, is_measured)).await;
        drop(ended);
        match exchanged {
            Ok(Ok(replies)) => Ok(replies),
            Ok(Err(error)) => {
                lock(&pool.health).on_failure(pool.clock.now());
                Err(error)
            }
            Err(_) => {
                if is_measured {
                    lock(&pool.health).on_outcome(pool.clock.now(), sent, Some(Code::Timeout));
                }
                Err(Error::Timeout {
                    step: "run a statement",
                    peer: self.server().to_string(),
                })
            }
        }
    }

    /// Sends one request that may commit and receives its reply.
    ///
    /// After an error the connection must be dropped.
    pub async fn commit(&mut self, request: Request, deadline: Instant) -> Result<Reply, Error> {
        let pool = Arc::clone(self.permit.pool());
        let ticket = lock(&pool.health).on_commit_sent(pool.clock.now());
        let exchanged = self.run(&[request], deadline, false).await;
        let reply = exchanged.map(|mut replies| replies.remove(0));
        let is_success = matches!(&reply, Ok(reply) if reply.outcome.is_ok());
        lock(&pool.health).on_commit_end(pool.clock.now(), ticket, is_success);
        reply
    }

    /// Parses the replication state in a reply.
    pub fn status(&self, reply: &Reply) -> Option<Status> {
        self.inner.status(reply)
    }

    /// Marks the open transaction as idle, which lets another statement run.
    pub fn set_idle(&mut self) {
        self.permit.set_idle();
        self.permit.pool().dispatch();
    }

    /// Marks the open transaction as active again.
    ///
    /// It doesn't queue, since it may hold locks that queued statements need.
    pub fn set_busy(&mut self) {
        let account = Arc::clone(&self.account);
        self.permit.set_busy(&account);
    }

    /// Returns the connection to the pool; closes it if replies or a transaction are outstanding.
    pub fn release(mut self) {
        self.released = self.permit.pool().clock.now();
        if self.unanswered == 0 && self.state == State::Idle {
            let pool = Arc::clone(self.permit.pool());
            pool.put_back(self);
        }
    }

    /// Returns the permit, which tracks whether the connection is in use.
    pub(super) fn permit_mut(&mut self) -> &mut Permit {
        &mut self.permit
    }

    /// Closes the connection and returns its permit.
    pub(super) fn into_permit(self) -> Permit {
        self.permit
    }

    pub(super) fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    async fn send_and_receive(
        &mut self,
        requests: &[Request],
        is_measured: bool,
    ) -> Result<Vec<Reply>, Error> {
        let sent = self.permit.pool().clock.now();
        self.inner.send(requests).await?;
        let mut replies = Vec::with_capacity(requests.len());
        for request in requests {
            let reply = self.inner.receive().await?;
            self.unanswered -= 1;
            self.state = reply.state;
            let pool = self.permit.pool();
            let now = pool.clock.now();
            let mut health = lock(&pool.health);
            health.on_reply(now, reply.position);
            let is_statement = matches!(
                request.statement,
                Statement::Read { .. } | Statement::Execute { .. }
            );
            if is_measured && is_statement {
                health.on_outcome(now, sent, reply.code());
            }
            drop(health);
            replies.push(reply);
        }
        Ok(replies)
    }
}

/// Records the end of a batch in the server health, even if the exchange is cancelled.
struct BatchGuard<'a> {
    pool: &'a Arc<crate::pool::Pool>,
    ticket: u64,
}

impl Drop for BatchGuard<'_> {
    fn drop(&mut self) {
        lock(&self.pool.health).on_end(self.ticket);
    }
}
