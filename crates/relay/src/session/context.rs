//! What one statement needs to run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

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
use crate::pool::Lane;
use crate::pool::Patience;
use crate::settings::Route;

/// A read, write or commit of a session, with all that decides how it runs.
pub struct Job<'a> {
    /// The instance.
    pub node: &'a Arc<Node>,
    /// The database group.
    pub group: &'a Arc<Group>,
    /// The route in force.
    pub route: &'a Route,
    /// The account.
    pub account: &'a Arc<str>,
    /// The caller's key.
    pub key: &'a Arc<str>,
    /// The caller's id of the statement.
    pub id: &'a Arc<str>,
    /// The statement.
    pub statement: &'a Statement,
    /// What a prepared statement does.
    pub definition: Option<&'a Definition>,
    /// The session's values.
    pub values: &'a BTreeMap<Arc<str>, Arc<str>>,
    /// When the statement, or the transaction that it begins, arrived.
    pub arrived: Time,
    /// When the statement has to be answered.
    pub deadline: Instant,
    /// The latest commit of the session.
    pub seen: Option<Position>,
}

impl Job<'_> {
    /// Returns the statement under the name that a lane's server knows.
    pub fn request(&self, lane: &Lane, floor: Option<Position>) -> Request {
        let statement = match (self.statement, self.definition) {
            (Statement::Execute { arguments, .. }, Some(definition)) => Statement::Execute {
                name: lane.name_of(definition).unwrap_or_else(|| Arc::from("")),
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

    /// Takes a connection to a server, waiting for its turn.
    pub async fn acquire(&self, server: &Server) -> Result<Lane, Error> {
        let priority = self.route.priority;
        server
            .pool
            .acquire(self.account, priority, self.patience())
            .await
    }

    /// Brings a lane's values and prepared statements in line; on failure it must be dropped.
    pub async fn adapt(
        &self,
        lane: &mut Lane,
        begin: Option<Request>,
    ) -> Result<Vec<Reply>, Trouble> {
        let mut requests = lane.adapt(self.values, self.definition);
        let preparations = requests.len();
        requests.extend(begin);
        if requests.is_empty() {
            return Ok(Vec::new());
        }
        let mut replies = lane
            .exchange(&requests, self.deadline)
            .await
            .map_err(Trouble::Connection)?;
        let rest = replies.split_off(preparations);
        for reply in replies {
            if let Err(failure) = reply.outcome {
                return Err(Trouble::Server(failure));
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

    /// Returns how long the statement waits for its turn at a server.
    pub fn patience(&self) -> Patience {
        Patience::of_target(self.route.target_latency, self.deadline)
    }

    /// Returns whether the deadline has come.
    pub fn is_late(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Waits until something changes at the group, for no longer than `most`.
    pub async fn pause(&self, most: Duration) {
        let until = self.deadline.min(Instant::now() + most);
        // Whether it changed or not, the caller looks again.
        let _elapsed = tokio::time::timeout_at(until, self.group.changed.notified()).await;
    }

    /// Writes why a try did not succeed to the log.
    pub fn log_try(&self, server: &str, why: &dyn std::fmt::Display) {
        self.node.logger.info(format_args!(
            "event=try-failed id={} group={} server={server} why=\"{why}\"",
            self.id, self.group.name
        ));
    }
}

/// Why a try gave no answer.
pub enum Refusal {
    /// Another server, or a later try, may answer.
    Elsewhere(String),
    /// The server has more waiting than it can answer in time.
    Overloaded,
    /// The answer is final.
    Final(Failure),
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        match error {
            Error::Overloaded { .. } => Self::Overloaded,
            other => Self::Elsewhere(other.to_string()),
        }
    }
}

/// Why a lane could not be used.
#[derive(Debug)]
pub enum Trouble {
    /// The connection broke or stayed silent.
    Connection(Error),
    /// The server refused.
    Server(Failure),
}

impl std::fmt::Display for Trouble {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connection(error) => write!(f, "{error}"),
            Self::Server(failure) => write!(f, "{} {}", failure.code, failure.text),
        }
    }
}
