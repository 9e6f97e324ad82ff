//! One connection to a server, with what the server keeps for it.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Time;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::Error;
use crate::external::Connection;
use crate::external::Status;
use crate::message::Definition;
use crate::message::Reply;
use crate::message::Request;
use crate::message::State;
use crate::message::Statement;
use crate::node::lock;
use crate::pool::Place;

/// One connection to a server, for one account.
pub struct Lane {
    connection: Box<dyn Connection>,
    place: Place,
    /// The account whose statements it carries.
    pub account: Arc<str>,
    /// The session values that the server holds.
    values: BTreeMap<Arc<str>, Arc<str>>,
    /// The names under which the server holds prepared statements.
    prepared: BTreeMap<Definition, Arc<str>>,
    next_name: u64,
    /// Answers that are still to come; never put back while there are any.
    unanswered: usize,
    state: State,
    /// How often in a row its account was preferred to one that had waited longer.
    pub(super) streak: u32,
    /// When it was last given back.
    pub(super) rested: Time,
}

impl Lane {
    pub(super) fn new(connection: Box<dyn Connection>, place: Place, account: Arc<str>) -> Self {
        Self {
            connection,
            place,
            account,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            next_name: 0,
            unanswered: 0,
            state: State::Idle,
            streak: 0,
            rested: Time::ZERO,
        }
    }

    /// Returns the server's id.
    pub fn server(&self) -> &Arc<str> {
        self.place.pool().server()
    }

    /// Returns the requests that bring the server's values and prepared statements in line.
    ///
    /// They count as done: unless all of them succeed, the lane must be dropped.
    pub fn adapt(
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

    /// Returns the name under which the server holds a prepared statement.
    pub fn name_of(&self, definition: &Definition) -> Option<Arc<str>> {
        self.prepared.get(definition).cloned()
    }

    /// Sends requests in one go and receives all answers.
    ///
    /// After an error the lane must be dropped.
    pub async fn exchange(
        &mut self,
        requests: &[Request],
        deadline: Instant,
    ) -> Result<Vec<Reply>, Error> {
        let pool = Arc::clone(self.place.pool());
        let ticket = lock(&pool.vitals).on_sent(pool.clock.now());
        let ended = OnEnd {
            pool: &pool,
            ticket,
        };
        self.unanswered += requests.len();
        let exchanged = timeout_at(deadline, self.converse(requests)).await;
        drop(ended);
        match exchanged {
            Ok(Ok(replies)) => Ok(replies),
            Ok(Err(error)) => {
                lock(&pool.vitals).on_failure(pool.clock.now());
                Err(error)
            }
            Err(_) => Err(Error::Timeout {
                step: "run a statement",
                peer: self.server().to_string(),
            }),
        }
    }

    /// Sends one request that may commit and receives its answer.
    ///
    /// After an error the lane must be dropped.
    pub async fn commit(&mut self, request: Request, deadline: Instant) -> Result<Reply, Error> {
        let pool = Arc::clone(self.place.pool());
        let ticket = lock(&pool.vitals).on_commit_sent(pool.clock.now());
        let exchanged = self.exchange(&[request], deadline).await;
        let reply = exchanged.map(|mut replies| replies.remove(0));
        let is_success = matches!(&reply, Ok(reply) if reply.outcome.is_ok());
        lock(&pool.vitals).on_commit_end(pool.clock.now(), ticket, is_success);
        reply
    }

    /// Reads the replication state out of an answer.
    pub fn status(&self, reply: &Reply) -> Option<Status> {
        self.connection.status(reply)
    }

    /// Notes that the transaction on the connection rests, so that others get its turn.
    pub fn rest(&mut self) {
        self.place.set_idle();
        self.place.pool().dispatch();
    }

    /// Notes that the transaction on the connection goes on; it does not wait for a turn, since it
    /// may hold what others wait for.
    pub fn go_on(&mut self) {
        let account = Arc::clone(&self.account);
        self.place.set_busy(&account);
    }

    /// Gives the connection back for other sessions, unless it is in the middle of something.
    pub fn release(mut self) {
        self.rested = self.place.pool().clock.now();
        if self.unanswered == 0 && self.state == State::Idle {
            let pool = Arc::clone(self.place.pool());
            pool.put_back(self);
        }
    }

    /// Returns the place, to note whether the connection is in use.
    pub(super) fn place_mut(&mut self) -> &mut Place {
        &mut self.place
    }

    /// Closes the connection and keeps its place.
    pub(super) fn into_place(self) -> Place {
        self.place
    }

    pub(super) fn is_open(&mut self) -> bool {
        self.connection.is_open()
    }

    async fn converse(&mut self, requests: &[Request]) -> Result<Vec<Reply>, Error> {
        self.connection.send(requests).await?;
        let mut replies = Vec::with_capacity(requests.len());
        for _ in requests {
            let reply = self.connection.receive().await?;
            self.unanswered -= 1;
            self.state = reply.state;
            let pool = self.place.pool();
            lock(&pool.vitals).on_reply(pool.clock.now(), reply.position);
            replies.push(reply);
        }
        Ok(replies)
    }
}

/// Ends a batch in the vitals, also when the exchange is given up.
struct OnEnd<'a> {
    pool: &'a Arc<crate::pool::Pool>,
    ticket: u64,
}

impl Drop for OnEnd<'_> {
    fn drop(&mut self) {
        lock(&self.pool.vitals).on_end(self.ticket);
    }
}
