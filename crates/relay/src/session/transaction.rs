//! Transactions, which hold one connection from their first statement to their end.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use clock::Span;
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
use crate::pool::Connection;
use crate::session::Commit;
use crate::session::Job;
use crate::session::Refusal;
use crate::session::read;
use crate::session::write;
use crate::settings::Freshness;
use crate::settings::Route;

/// Delay before a failed attempt to begin is retried.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Maximum wait between two checks whether the primary's replacement has ended.
const REPLACEMENT_CHECK_PERIOD: Duration = Duration::from_millis(25);
/// Time limit for a rollback in the background.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// A caller's open transaction.
///
/// The server's transaction begins with the first statement, so a caller that is idle after its
/// BEGIN holds no connection.
pub struct Transaction {
    /// Whether the transaction is read-only.
    pub is_read_only: bool,
    /// The route at its BEGIN; a changed route applies to later transactions.
    pub route: Arc<Route>,
    /// The database group.
    pub group: Arc<Group>,
    /// When its BEGIN arrived.
    pub arrived: Time,
    /// The connection, from the first statement on.
    connection: Option<Connection>,
    /// The server of the connection.
    server: Option<Arc<Server>>,
    /// Whether one of its writes succeeded.
    pub has_written: bool,
    /// Whether the transaction failed and can only be rolled back.
    pub is_failed: bool,
}

impl Transaction {
    /// Opens a transaction without a connection.
    pub fn open(is_read_only: bool, route: Arc<Route>, group: Arc<Group>, arrived: Time) -> Self {
        Self {
            is_read_only,
            route,
            group,
            arrived,
            connection: None,
            server: None,
            has_written: false,
            is_failed: false,
        }
    }

    /// Returns the session state to report to the caller.
    pub fn state(&self) -> State {
        if self.is_failed {
            State::Failed
        } else {
            State::Open
        }
    }

    /// Runs a statement of the transaction.
    pub async fn run(&mut self, job: &Job<'_>) -> Reply {
        if self.connection.is_none()
            && let Err(failure) = self.begin(job).await
        {
            self.is_failed = true;
            return Reply::failed(failure, State::Failed);
        }
        if let Some(connection) = self.connection.as_mut() {
            connection.set_busy();
        }
        let reply = self.exchange(job).await;
        self.has_written |= reply.outcome.is_ok() && job.is_write();
        if reply.outcome.is_err() {
            self.fail();
        } else if let Some(connection) = self.connection.as_mut() {
            connection.set_idle();
        }
        reply
    }

    /// Commits the transaction.
    pub async fn commit(mut self, job: &Job<'_>) -> Reply {
        if self.connection.is_none()
            && let Err(failure) = self.begin(job).await
        {
            return Reply::failed(failure, State::Idle);
        }
        let Some(mut connection) = self.connection.take() else {
            return Reply::failed(aborted("the connection is gone"), State::Idle);
        };
        if let Some(server) = &self.server
            && !job.wait_for_turn(server).await
        {
            self.connection = Some(connection);
            self.fail();
            return Reply::failed(aborted(read::COLD), State::Idle);
        }
        if is_overdue(self.server.as_ref(), job.node.now()) {
            self.connection = Some(connection);
            self.fail();
            return Reply::failed(aborted(read::EVACUATED), State::Idle);
        }
        if self.has_written && !self.wait_for_replacement(job).await {
            self.connection = Some(connection);
            self.fail();
            return Reply::failed(aborted(write::REPLACED), State::Idle);
        }
        let server = Arc::clone(connection.server());
        let commit = Commit::open(job, &self.group, &server);
        connection.set_busy();
        let request = job.request(&connection, None);
        let exchanged = connection.commit(request, job.deadline).await;
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
            connection.release();
        }
        match (reply.code(), reply.position) {
            // A commit without writes succeeds even at a former primary, so it proves nothing.
            (None, Some(position)) if self.has_written => {
                if let Err(failure) = commit.acknowledge(position).await {
                    reply.outcome = Err(failure);
                }
            }
            (None, None) if self.has_written => reply.outcome = Err(write::unplaced()),
            (Some(Code::ReadOnly), _) => self.group.on_not_leader(&server),
            _ => {}
        }
        reply.state = State::Idle;
        reply
    }

    /// Waits until no replacement of the primary is known to be under way; returns false if that is
    /// not before the deadline.
    async fn wait_for_replacement(&self, job: &Job<'_>) -> bool {
        while self.group.is_replacement_open() {
            if job.is_expired() {
                return false;
            }
            job.wait_for_change(REPLACEMENT_CHECK_PERIOD).await;
        }
        true
    }

    /// Returns when the transaction is rolled back because its server's zone is evacuated; `None` if
    /// it isn't, or if the transaction has no connection.
    pub fn deadline(&self) -> Option<Time> {
        self.connection.as_ref()?;
        self.server.as_ref()?.transaction_deadline()
    }

    /// Aborts the transaction without telling the caller, who learns of it at its next statement.
    pub fn abort(&mut self) {
        self.fail();
    }

    /// Rolls the transaction back.
    pub fn roll_back(mut self) {
        self.fail();
    }

    /// Marks the transaction as failed and rolls it back in the background.
    fn fail(&mut self) {
        self.is_failed = true;
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        tokio::spawn(async move {
            let deadline = tokio::time::Instant::now() + ROLLBACK_TIMEOUT;
            let request = Request::internal(Statement::Rollback);
            match connection.exchange(&[request], deadline).await {
                Ok(_) => connection.release(),
                // The server rolls back when the connection closes.
                Err(error) => log::debug!("event=rollback-failed why=\"{error}\""),
            }
        });
    }

    async fn exchange(&mut self, job: &Job<'_>) -> Reply {
        let Some(connection) = self.connection.as_mut() else {
            return Reply::failed(aborted("the connection is gone"), State::Failed);
        };
        if let Err(fault) = job.sync_session(connection, None).await {
            return self.on_connection_lost(&fault.to_string());
        }
        if let Some(failure) = job.node.recheck_key(job) {
            return Reply::failed(failure, State::Failed);
        }
        if let Some(server) = &self.server
            && !job.wait_for_turn(server).await
        {
            return Reply::failed(aborted(read::COLD), State::Failed);
        }
        if is_overdue(self.server.as_ref(), job.node.now()) {
            return Reply::failed(aborted(read::EVACUATED), State::Failed);
        }
        let request = job.request(connection, None);
        match connection.exchange(&[request], job.deadline).await {
            Ok(mut replies) => {
                let mut reply = replies.remove(0);
                if reply.code() == Some(Code::ReadOnly) {
                    let server = Arc::clone(connection.server());
                    self.group.on_not_leader(&server);
                }
                if reply.outcome.is_err() {
                    reply.state = State::Failed;
                }
                reply
            }
            Err(error) => self.on_connection_lost(&error.to_string()),
        }
    }

    /// Closes the connection, which makes the server roll the transaction back.
    fn on_connection_lost(&mut self, why: &str) -> Reply {
        self.connection = None;
        self.is_failed = true;
        Reply::failed(aborted(why), State::Failed)
    }

    /// Begins the transaction at a server.
    async fn begin(&mut self, job: &Job<'_>) -> Result<(), Failure> {
        let mut tried = BTreeSet::new();
        let mut overload: Option<Span> = None;
        let may_use_replica = self.is_read_only && job.route.freshness != Freshness::Latest;
        loop {
            if job.is_expired() {
                return Err(read::not_run(
                    job,
                    "no server could begin the transaction in time",
                ));
            }
            let failure = read::cut_off_failure(job, !may_use_replica)
                .or_else(|| read::unleased_failure(job, !may_use_replica))
                .or_else(|| read::evacuated_failure(job));
            if let Some(failure) = failure {
                return Err(failure);
            }
            let destination = if may_use_replica {
                read::destination(job, &tried)
            } else {
                read::leader_destination(job)
            };
            let (server, floor) = match destination {
                read::Destination::Server(server, floor) => (server, Some(floor)),
                read::Destination::Leader(server) => (server, None),
                read::Destination::Unavailable => {
                    if let Some(retry_after) = overload {
                        return Err(read::overloaded(job, retry_after));
                    }
                    tried.clear();
                    job.wait_for_change(RETRY_DELAY).await;
                    continue;
                }
            };
            match self.begin_at(job, &server, floor).await {
                Ok(connection) => {
                    self.connection = Some(connection);
                    self.server = Some(server);
                    return Ok(());
                }
                Err(Refusal::Final(failure)) => return Err(failure),
                Err(Refusal::Overloaded { retry_after }) if !may_use_replica => {
                    return Err(read::overloaded(job, retry_after));
                }
                Err(Refusal::Overloaded { retry_after }) => {
                    job.log_attempt(&server.name, &read::OVERLOADED);
                    overload = Some(overload.map_or(retry_after, |other| other.min(retry_after)));
                    tried.insert(Arc::clone(&server.name));
                }
                Err(Refusal::Retryable(why)) => {
                    job.log_attempt(&server.name, &why);
                    if !tried.insert(Arc::clone(&server.name)) || !may_use_replica {
                        job.wait_for_change(RETRY_DELAY).await;
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
    ) -> Result<Connection, Refusal> {
        let mut connection = job.acquire(server).await.map_err(Refusal::from)?;
        if let Some(failure) = job.node.recheck_key(job) {
            connection.release();
            return Err(Refusal::Final(failure));
        }
        if server.is_closed(job.node.now()) {
            connection.release();
            return Err(Refusal::Retryable(read::CLOSED.to_owned()));
        }
        let sent = job.node.now();
        // At the leader every transaction begins as read-write: only a leader accepts that.
        let begin = Request {
            id: None,
            floor,
            statement: Statement::Begin {
                is_read_only: floor.is_some(),
            },
        };
        let began = job.sync_session(&mut connection, Some(begin)).await;
        let reply = match began {
            Ok(mut replies) => replies.remove(0),
            Err(fault) => return Err(Refusal::Retryable(fault.to_string())),
        };
        match (reply.code(), reply.position) {
            (None, position) => {
                if let (None, Some(position)) = (floor, position)
                    && !self.group.on_proof(sent, &server.name, position)
                {
                    let why = "the server may have been replaced";
                    return Err(Refusal::Retryable(why.to_owned()));
                }
                Ok(connection)
            }
            (Some(code), _) => {
                match code {
                    Code::ReadOnly => self.group.on_not_leader(&server.name),
                    Code::Behind => lock(&server.health).on_lagging(job.node.now()),
                    _ => {}
                }
                connection.release();
                Err(Refusal::Retryable(code.to_string()))
            }
        }
    }
}

/// Returns whether a transaction at this server must be rolled back because the server's zone is
/// evacuated.
fn is_overdue(server: Option<&Arc<Server>>, now: Time) -> bool {
    let deadline = server.and_then(|server| server.transaction_deadline());
    deadline.is_some_and(|deadline| now >= deadline)
}

fn aborted(why: &str) -> Failure {
    let text = format!("the transaction was rolled back: {why}");
    Failure::new(Code::Aborted, &text)
}
