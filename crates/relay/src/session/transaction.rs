//! Transactions, which keep one connection from their first statement to their end.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use clock::Time;
use endpoint::Position;

use crate::group::Group;
use crate::group::Server;
use crate::message::Code;
use crate::message::Failure;
use crate::message::Reply;
use crate::message::Request;
use crate::message::State;
use crate::message::Statement;
use crate::node::lock;
use crate::pool::Lane;
use crate::session::Job;
use crate::session::Refusal;
use crate::session::read;
use crate::settings::Freshness;
use crate::settings::Route;

/// Pause before a transaction that could not begin is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(25);
/// Longest wait for the answer to a rollback that nobody waits for.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// A caller's open transaction.
///
/// The server's transaction begins with the first statement, so a caller that rests after its
/// BEGIN holds no connection.
pub struct Transaction {
    /// Whether it only reads.
    pub is_read_only: bool,
    /// The route under which it began; a change applies from the next one on.
    pub route: Arc<Route>,
    /// The group.
    pub group: Arc<Group>,
    /// When its BEGIN arrived.
    pub arrived: Time,
    /// The connection, once a statement has run.
    lane: Option<Lane>,
    /// Whether a write of it has run.
    pub has_written: bool,
    /// Whether it failed and can only be rolled back.
    pub is_failed: bool,
}

impl Transaction {
    /// Opens a transaction that has not reached a server yet.
    pub fn open(is_read_only: bool, route: Arc<Route>, group: Arc<Group>, arrived: Time) -> Self {
        Self {
            is_read_only,
            route,
            group,
            arrived,
            lane: None,
            has_written: false,
            is_failed: false,
        }
    }

    /// Returns the state to report.
    pub fn state(&self) -> State {
        if self.is_failed {
            State::Failed
        } else {
            State::Open
        }
    }

    /// Runs a statement of the transaction.
    pub async fn run(&mut self, job: &Job<'_>) -> Reply {
        if self.lane.is_none()
            && let Err(failure) = self.begin(job).await
        {
            self.is_failed = true;
            return Reply::failed(failure, State::Failed);
        }
        if let Some(lane) = self.lane.as_mut() {
            lane.go_on();
        }
        let reply = self.exchange(job).await;
        self.has_written |= reply.outcome.is_ok() && job.is_write();
        if reply.outcome.is_err() {
            self.fail();
        } else if let Some(lane) = self.lane.as_mut() {
            lane.rest();
        }
        reply
    }

    /// Commits; the transaction is over afterwards.
    pub async fn commit(mut self, job: &Job<'_>) -> Reply {
        if self.lane.is_none()
            && let Err(failure) = self.begin(job).await
        {
            return Reply::failed(failure, State::Idle);
        }
        let Some(mut lane) = self.lane.take() else {
            return Reply::failed(aborted("the connection is gone"), State::Idle);
        };
        let sent = job.node.now();
        lane.go_on();
        let request = job.request(&lane, None);
        let exchanged = lane.commit(request, job.deadline).await;
        let server = Arc::clone(lane.server());
        let mut reply = match exchanged {
            Ok(reply) => reply,
            Err(error) if !self.has_written => {
                return Reply::failed(aborted(&error.to_string()), State::Idle);
            }
            Err(error) => {
                let text = format!("the commit may have taken effect: {error}");
                return Reply::failed(Failure::new(Code::InDoubt, &text), State::Idle);
            }
        };
        if reply.state == State::Idle {
            lane.release();
        }
        match (reply.code(), reply.position) {
            // A commit without writes succeeds also at a server that was replaced.
            (None, Some(position)) if self.has_written => {
                self.group.on_commit(sent, &server, position);
            }
            (Some(Code::ReadOnly), _) => self.group.on_deposed(&server),
            _ => {}
        }
        reply.state = State::Idle;
        reply
    }

    /// Ends the transaction before its caller does; the caller learns it with its next statement.
    pub fn end(&mut self) {
        self.fail();
    }

    /// Ends the transaction without keeping anything of it.
    pub fn roll_back(mut self) {
        self.fail();
    }

    /// Gives the connection up: its transaction is rolled back in the background.
    fn fail(&mut self) {
        self.is_failed = true;
        let Some(mut lane) = self.lane.take() else {
            return;
        };
        tokio::spawn(async move {
            let deadline = tokio::time::Instant::now() + ROLLBACK_TIMEOUT;
            let request = Request::internal(Statement::Rollback);
            match lane.exchange(&[request], deadline).await {
                Ok(_) => lane.release(),
                // The server rolls back when the connection closes.
                Err(error) => log::debug!("event=rollback-unanswered why=\"{error}\""),
            }
        });
    }

    async fn exchange(&mut self, job: &Job<'_>) -> Reply {
        let Some(lane) = self.lane.as_mut() else {
            return Reply::failed(aborted("the connection is gone"), State::Failed);
        };
        if let Err(trouble) = job.adapt(lane, None).await {
            return self.lost(&trouble.to_string());
        }
        if let Some(failure) = job.node.still_allowed(job) {
            return Reply::failed(failure, State::Failed);
        }
        let request = job.request(lane, None);
        match lane.exchange(&[request], job.deadline).await {
            Ok(mut replies) => {
                let mut reply = replies.remove(0);
                if reply.code() == Some(Code::ReadOnly) {
                    let server = Arc::clone(lane.server());
                    self.group.on_deposed(&server);
                }
                if reply.outcome.is_err() {
                    reply.state = State::Failed;
                }
                reply
            }
            Err(error) => self.lost(&error.to_string()),
        }
    }

    /// Drops the connection, which rolls back what the server has of the transaction.
    fn lost(&mut self, why: &str) -> Reply {
        self.lane = None;
        self.is_failed = true;
        Reply::failed(aborted(why), State::Failed)
    }

    /// Begins the server's transaction.
    async fn begin(&mut self, job: &Job<'_>) -> Result<(), Failure> {
        let mut tried = BTreeSet::new();
        let mut is_overloaded = false;
        let may_use_replica = self.is_read_only && job.route.freshness != Freshness::Latest;
        loop {
            if job.is_late() {
                return Err(read::not_run(
                    job,
                    "no server could begin the transaction in time",
                ));
            }
            if let Some(failure) = read::nowhere(job, !may_use_replica) {
                return Err(failure);
            }
            let place = if may_use_replica {
                read::place(job, &tried)
            } else {
                job.group
                    .leader()
                    .map_or(read::Place::Nowhere, read::Place::Leader)
            };
            let (server, floor) = match place {
                read::Place::Any(server, floor) => (server, Some(floor)),
                read::Place::Leader(server) => (server, None),
                read::Place::Nowhere => {
                    if is_overloaded {
                        return Err(read::not_run(job, read::OVERLOADED));
                    }
                    tried.clear();
                    job.pause(RETRY_PAUSE).await;
                    continue;
                }
            };
            match self.begin_at(job, &server, floor).await {
                Ok(lane) => {
                    self.lane = Some(lane);
                    return Ok(());
                }
                Err(Refusal::Final(failure)) => return Err(failure),
                Err(Refusal::Overloaded) if !may_use_replica => {
                    return Err(read::not_run(job, read::OVERLOADED));
                }
                Err(Refusal::Overloaded) => {
                    job.log_try(&server.name, &read::OVERLOADED);
                    is_overloaded = true;
                    tried.insert(Arc::clone(&server.name));
                }
                Err(Refusal::Elsewhere(why)) => {
                    job.log_try(&server.name, &why);
                    if !tried.insert(Arc::clone(&server.name)) || !may_use_replica {
                        job.pause(RETRY_PAUSE).await;
                    }
                }
            }
        }
    }

    async fn begin_at(
        &self,
        job: &Job<'_>,
        server: &Arc<Server>,
        floor: Option<Position>,
    ) -> Result<Lane, Refusal> {
        let mut lane = job.acquire(server).await.map_err(Refusal::from)?;
        if let Some(failure) = job.node.still_allowed(job) {
            lane.release();
            return Err(Refusal::Final(failure));
        }
        let sent = job.node.now();
        // At the leader every transaction begins as one that may write: only a leader allows it.
        let begin = Request {
            id: None,
            floor,
            statement: Statement::Begin {
                is_read_only: floor.is_some(),
            },
        };
        let began = job.adapt(&mut lane, Some(begin)).await;
        let reply = match began {
            Ok(mut replies) => replies.remove(0),
            Err(trouble) => return Err(Refusal::Elsewhere(trouble.to_string())),
        };
        match (reply.code(), reply.position) {
            (None, position) => {
                if let (None, Some(position)) = (floor, position) {
                    self.group.on_proof(sent, &server.name, position);
                }
                Ok(lane)
            }
            (Some(code), _) => {
                match code {
                    Code::ReadOnly => self.group.on_deposed(&server.name),
                    Code::Behind => lock(&server.vitals).on_behind(job.node.now()),
                    _ => {}
                }
                lane.release();
                Err(Refusal::Elsewhere(code.to_string()))
            }
        }
    }
}

fn aborted(why: &str) -> Failure {
    let text = format!("the transaction was rolled back: {why}");
    Failure::new(Code::Aborted, &text)
}
