//! A statement with its execution context.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use clock::Time;
use endpoint::Position;
use tokio::time::Instant;

use crate::Error;
use crate::group::Group;
use crate::group::Server;
use crate::message::Access;
use crate::message::Definition;
use crate::message::Failure;
use crate::message::Reply;
use crate::message::Request;
use crate::message::Statement;
use crate::node::Node;
use crate::pool::Admission;
use crate::pool::Connection;
use crate::schedule;
use crate::session::read;
use crate::session::write;
use crate::settings::Route;

/// How often a statement that only a cold server can run checks for its instance's turn; a slot
/// lasts 20 ms or more at up to 50 requests a second.
const TURN_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// A read, write or commit of a session, with its execution context.
pub struct Job<'a> {
    /// The instance's state.
    pub node: &'a Arc<Node>,
    /// The database group.
    pub group: &'a Arc<Group>,
    /// The current route.
    pub route: &'a Route,
    /// The account.
    pub account: &'a Arc<str>,
    /// The caller's key.
    pub key: &'a Arc<str>,
    /// The statement id that the caller assigned.
    pub id: &'a Arc<str>,
    /// The statement.
    pub statement: &'a Statement,
    /// The definition of a prepared statement.
    pub definition: Option<&'a Definition>,
    /// The session's values.
    pub values: &'a BTreeMap<Arc<str>, Arc<str>>,
    /// When the statement, or the BEGIN of its transaction, arrived.
    pub arrived: Time,
    /// When the statement must be answered.
    pub deadline: Instant,
    /// The log position of the session's latest commit.
    pub last_commit: Option<Position>,
}

impl Job<'_> {
    /// Runs the read or write outside a transaction.
    pub async fn run(&self) -> Reply {
        if self.is_write() {
            write::run(self).await
        } else {
            read::run(self).await
        }
    }

    /// Builds the request for a connection, with the server's name for a prepared statement.
    pub fn request(&self, connection: &Connection, floor: Option<Position>) -> Request {
        self.count_evacuated(connection.server());
        let statement = match (self.statement, self.definition) {
            (Statement::Execute { arguments, .. }, Some(definition)) => Statement::Execute {
                name: connection
                    .statement_name(definition)
                    .unwrap_or_else(|| Arc::from("")),
                arguments: Arc::clone(arguments),
            },
            (statement, _) => statement.clone(),
        };
        Request {
            id: Some(Arc::clone(self.id)),
            floor,
            statement,
        }
    }

    /// Counts a statement that is about to be sent to a server of an evacuated zone, which only those
    /// of open transactions are.
    fn count_evacuated(&self, server: &str) {
        let server = self.group.server(server);
        if server.is_some_and(|server| server.is_evacuated()) {
            self.node.metrics.evacuated_statements.inc();
        }
    }

    /// Waits until a request may be sent to a server, which takes time only if the server is cold;
    /// returns false if that is not before the deadline.
    pub async fn wait_for_turn(&self, server: &Server) -> bool {
        while !self.group.on_send(server) {
            if self.is_expired() {
                return false;
            }
            tokio::time::sleep(TURN_CHECK_PERIOD).await;
        }
        true
    }

    /// Acquires a connection to a server, queueing if necessary.
    pub async fn acquire(&self, server: &Server) -> Result<Connection, Error> {
        let priority = self.route.priority;
        let acquired = server
            .pool
            .acquire(self.account, priority, self.admission())
            .await;
        if acquired.is_ok() {
            self.node.metrics.admitted.inc();
        }
        acquired
    }

    /// Aligns a connection's session state with the session, then sends `begin` if it is given.
    ///
    /// After an error the connection must be dropped.
    pub async fn sync_session(
        &self,
        connection: &mut Connection,
        begin: Option<Request>,
    ) -> Result<Vec<Reply>, Fault> {
        let mut requests = connection.sync_requests(self.values, self.definition);
        let preparations = requests.len();
        requests.extend(begin);
        if requests.is_empty() {
            return Ok(Vec::new());
        }
        let mut replies = connection
            .exchange(&requests, self.deadline)
            .await
            .map_err(Fault::Connection)?;
        let rest = replies.split_off(preparations);
        for reply in replies {
            if let Err(failure) = reply.outcome {
                return Err(Fault::Server(failure));
            }
        }
        Ok(rest)
    }

    /// Returns whether the statement writes.
    pub fn is_write(&self) -> bool {
        match self.statement {
            Statement::Write { .. } => true,
            _ => self
                .definition
                .is_some_and(|definition| definition.access == Access::Write),
        }
    }

    /// Returns the limits on queueing for a connection.
    pub fn admission(&self) -> Admission {
        let salt = schedule::salt(self.id);
        Admission::for_target(self.route.target_latency, self.deadline, salt)
    }

    /// Returns whether the deadline has passed.
    pub fn is_expired(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Waits until the group's state changes, for at most `max_wait`.
    pub async fn wait_for_change(&self, max_wait: Duration) {
        let until = self.deadline.min(Instant::now() + max_wait);
        // The caller checks again, whether the state changed or the wait elapsed.
        let _elapsed = tokio::time::timeout_at(until, self.group.changed.notified()).await;
    }

    /// Logs why an attempt failed.
    pub fn log_attempt(&self, server: &str, why: &dyn std::fmt::Display) {
        self.node.logger.info(format_args!(
            "event=try-failed id={} group={} server={server} why=\"{why}\"",
            self.id, self.group.name
        ));
    }
}

/// Why an attempt got no reply.
pub enum Refusal {
    /// Another server or a later attempt may succeed.
    Retryable(String),
    /// The server has more statements queued than it can answer in time.
    Overloaded {
        /// When its queue is expected to have room.
        retry_after: Span,
    },
    /// The failure is final.
    Final(Failure),
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        match error {
            Error::Overloaded { retry_after, .. } => Self::Overloaded { retry_after },
            other => Self::Retryable(other.to_string()),
        }
    }
}

/// Why a connection's session state could not be aligned.
#[derive(Debug)]
pub enum Fault {
    /// The connection failed or timed out.
    Connection(Error),
    /// The server returned an error.
    Server(Failure),
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connection(error) => write!(f, "{error}"),
            Self::Server(failure) => write!(f, "{} {}", failure.code, failure.text),
        }
    }
}
