//! One caller's session.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::Span;
use clock::Time;
use endpoint::Position;
use tokio::time::sleep;

use crate::external::Caller;
use crate::forward;
use crate::message::Code;
use crate::message::Definition;
use crate::message::Failure;
use crate::message::Message;
use crate::message::Reply;
use crate::message::State;
use crate::message::Statement;
use crate::node::Node;
use crate::node::lock;
use crate::session::Job;
use crate::session::Transaction;
use crate::settings::Route;

/// While an instance drains, it closes sessions idle for this long; a caller in the middle of a
/// unit of work sends its next statement sooner.
const IDLE_BEFORE_CLOSE: Span = Span::from_millis(300);
/// Maximum number of prepared statements and of values per session.
const ENTRIES_MAX: usize = 256;

/// One caller's session.
pub struct Session {
    node: Arc<Node>,
    database: Arc<str>,
    key: Arc<str>,
    /// The account that owned the key when the session began.
    account: Arc<str>,
    /// Session values that were acknowledged to the caller.
    values: BTreeMap<Arc<str>, Arc<str>>,
    /// Prepared statements that were acknowledged to the caller.
    prepared: BTreeMap<Arc<str>, Definition>,
    transaction: Option<Transaction>,
    /// The log position of the session's latest commit.
    last_commit: Option<Position>,
    /// When the caller's latest message was answered.
    last_activity: Time,
}

/// Serves a caller until it disconnects.
pub async fn serve(node: Arc<Node>, mut caller: Box<dyn Caller>) {
    let Some(Message::Start { database, key }) = caller.receive().await else {
        return;
    };
    let account = match node.login(&database, &key) {
        Ok(account) => account,
        Err(failure) => {
            node.logger.info(format_args!(
                "event=session-refused database={database} code={} revision={}",
                failure.code,
                node.revision().number
            ));
            if let Err(error) = caller.refuse(&failure).await {
                log::debug!("event=reply-not-sent why=\"{error}\"");
            }
            return;
        }
    };
    if let Err(error) = caller.accept().await {
        log::debug!("event=reply-not-sent why=\"{error}\"");
        return;
    }
    node.metrics.sessions.inc();
    let mut session = Session {
        last_activity: node.now(),
        node: Arc::clone(&node),
        database,
        key,
        account,
        values: BTreeMap::new(),
        prepared: BTreeMap::new(),
        transaction: None,
        last_commit: None,
    };
    session.run(&mut *caller).await;
    if let Some(transaction) = session.transaction.take() {
        transaction.roll_back();
    }
    node.metrics.sessions.dec();
}

impl Session {
    async fn run(&mut self, caller: &mut dyn Caller) {
        loop {
            let node = Arc::clone(&self.node);
            let drain = node.drain.notified();
            if self.transaction.is_none()
                && node.is_draining()
                && node.now() >= self.last_activity + IDLE_BEFORE_CLOSE
            {
                return;
            }
            let evacuation = node.evacuations_changed.notified();
            let idle = self.idle_time_left();
            let evacuated = self.evacuation_time_left();
            let message = tokio::select! {
                message = caller.receive() => message,
                () = drain, if self.transaction.is_none() => continue,
                () = evacuation, if self.transaction.is_some() => continue,
                () = sleep(evacuated.unwrap_or_default()), if evacuated.is_some() => {
                    self.end_evacuated_transaction();
                    continue;
                }
                () = sleep(idle.unwrap_or_default()), if idle.is_some() => {
                    self.end_idle_transaction();
                    continue;
                }
            };
            let reply = match message {
                None | Some(Message::Quit | Message::Start { .. }) => return,
                Some(Message::TooLarge) => {
                    let failure = Failure::new(Code::TooLarge, "send messages of at most 1 MiB");
                    let reply = Reply::failed(failure, State::Failed);
                    if let Err(error) = caller.send(&reply).await {
                        log::debug!("event=reply-not-sent why=\"{error}\"");
                    }
                    return;
                }
                Some(Message::Malformed { why }) => {
                    Reply::failed(Failure::new(Code::Malformed, &why), self.state())
                }
                Some(Message::Query { id, statement }) => self.answer(&id, statement).await,
            };
            self.last_activity = node.now();
            if let Err(error) = caller.send(&reply).await {
                log::debug!("event=reply-not-sent why=\"{error}\"");
                return;
            }
            if reply.code() == Some(Code::NoAccess) {
                return;
            }
        }
    }

    fn state(&self) -> State {
        self.transaction
            .as_ref()
            .map_or(State::Idle, Transaction::state)
    }

    async fn answer(&mut self, id: &Arc<str>, statement: Statement) -> Reply {
        let begun = self.node.now();
        let reply = self.dispatch(id, statement, begun).await;
        let micros = self.node.now().since(begun).as_micros();
        let code = reply.code();
        self.node.metrics.request(code, micros);
        if let Err(failure) = &reply.outcome {
            self.node.logger.info(format_args!(
                "event=request-failed id={id} database={} account={} code={} ms={} revision={} why=\"{}\"",
                self.database,
                self.account,
                failure.code,
                micros / 1_000,
                self.node.revision().number,
                failure.text
            ));
        }
        reply
    }

    async fn dispatch(&mut self, id: &Arc<str>, statement: Statement, arrived: Time) -> Reply {
        let state = self.state();
        if state == State::Failed && !matches!(statement, Statement::Rollback | Statement::Commit) {
            let failure = Failure::new(Code::Malformed, "the transaction failed; roll it back");
            return Reply::failed(failure, state);
        }
        match statement {
            Statement::Set { name, value } => {
                if self.values.len() >= ENTRIES_MAX && !self.values.contains_key(&name) {
                    return Reply::failed(too_many("values"), state);
                }
                self.values.insert(name, value);
                Reply::local(state)
            }
            Statement::Prepare { name, definition } => {
                if self.prepared.len() >= ENTRIES_MAX && !self.prepared.contains_key(&name) {
                    return Reply::failed(too_many("prepared statements"), state);
                }
                self.prepared.insert(name, definition);
                Reply::local(state)
            }
            Statement::Deallocate { name } => {
                self.prepared.remove(&name);
                Reply::local(state)
            }
            Statement::Begin { is_read_only } => self.begin(id, is_read_only, arrived).await,
            Statement::Rollback => self.roll_back(),
            Statement::Commit => self.commit(id, arrived).await,
            Statement::Read { .. } | Statement::Write { .. } | Statement::Execute { .. } => {
                self.execute(id, &statement, arrived).await
            }
            _ => Reply::failed(Failure::new(Code::Malformed, "not a statement"), state),
        }
    }

    async fn begin(&mut self, id: &Arc<str>, is_read_only: bool, arrived: Time) -> Reply {
        if self.transaction.is_some() {
            let failure = Failure::new(Code::Malformed, "a transaction is open");
            return Reply::failed(failure, self.state());
        }
        let route = match self.admit(id).await {
            Ok(route) => route,
            Err(failure) => return Reply::failed(failure, State::Idle),
        };
        let Some(group) = self.node.group(&route.group) else {
            return Reply::failed(self.node.unknown_database(), State::Idle);
        };
        let transaction = Transaction::open(is_read_only, route, group, arrived);
        self.transaction = Some(transaction);
        Reply::local(State::Open)
    }

    fn roll_back(&mut self) -> Reply {
        let Some(transaction) = self.transaction.take() else {
            let failure = Failure::new(Code::Malformed, "no transaction is open");
            return Reply::failed(failure, State::Idle);
        };
        transaction.roll_back();
        Reply::local(State::Idle)
    }

    async fn commit(&mut self, id: &Arc<str>, arrived: Time) -> Reply {
        let Some(transaction) = self.transaction.take() else {
            let failure = Failure::new(Code::Malformed, "no transaction is open");
            return Reply::failed(failure, State::Idle);
        };
        if transaction.is_failed {
            transaction.roll_back();
            let failure = Failure::new(Code::Aborted, "the transaction had failed");
            return Reply::failed(failure, State::Idle);
        }
        if let Err(failure) = self
            .node
            .check_key(&self.account, &self.key, &transaction.route)
        {
            transaction.roll_back();
            return Reply::failed(failure, State::Idle);
        }
        let group = Arc::clone(&transaction.group);
        let route = Arc::clone(&transaction.route);
        let has_written = transaction.has_written;
        let reply = {
            let job = self.job(id, &Statement::Commit, None, &route, &group, arrived);
            transaction.commit(&job).await
        };
        if reply.outcome.is_ok() && has_written {
            self.last_commit = self.last_commit.max(reply.position);
        }
        reply
    }

    async fn execute(&mut self, id: &Arc<str>, statement: &Statement, arrived: Time) -> Reply {
        let definition = match statement {
            Statement::Execute { name, .. } => match self.prepared.get(name) {
                Some(definition) => Some(definition.clone()),
                None => {
                    let text = format!("no statement is prepared as {name}");
                    let failure = Failure::new(Code::UnknownStatement, &text);
                    return Reply::failed(failure, self.state());
                }
            },
            _ => None,
        };
        if let Some(mut transaction) = self.transaction.take() {
            let reply = self
                .execute_in_transaction(&mut transaction, id, statement, definition.as_ref())
                .await;
            self.transaction = Some(transaction);
            return reply;
        }
        let route = match self.admit(id).await {
            Ok(route) => route,
            Err(failure) => return Reply::failed(failure, State::Idle),
        };
        let Some(group) = self.node.group(&route.group) else {
            return Reply::failed(self.node.unknown_database(), State::Idle);
        };
        let (is_write, reply) = {
            let job = self.job(id, statement, definition.as_ref(), &route, &group, arrived);
            let reply = match forward::run(&job, &self.database).await {
                Some(reply) => reply,
                None => job.run().await,
            };
            (job.is_write(), reply)
        };
        if is_write && reply.outcome.is_ok() {
            self.last_commit = self.last_commit.max(reply.position);
        }
        reply
    }

    async fn execute_in_transaction(
        &self,
        transaction: &mut Transaction,
        id: &Arc<str>,
        statement: &Statement,
        definition: Option<&Definition>,
    ) -> Reply {
        let route = Arc::clone(&transaction.route);
        let group = Arc::clone(&transaction.group);
        if let Err(failure) = self.node.check_key(&self.account, &self.key, &route) {
            transaction.abort();
            return Reply::failed(failure, State::Failed);
        }
        let job = self.job(
            id,
            statement,
            definition,
            &route,
            &group,
            transaction.arrived,
        );
        transaction.run(&job).await
    }

    fn job<'a>(
        &'a self,
        id: &'a Arc<str>,
        statement: &'a Statement,
        definition: Option<&'a Definition>,
        route: &'a Route,
        group: &'a Arc<crate::group::Group>,
        arrived: Time,
    ) -> Job<'a> {
        Job {
            node: &self.node,
            group,
            route,
            account: &self.account,
            key: &self.key,
            id,
            statement,
            definition,
            values: &self.values,
            arrived,
            deadline: self.node.statement_deadline(route.statement_timeout),
            last_commit: self.last_commit,
        }
    }

    /// Checks the caller's key and rate limit for a new operation and returns the current route.
    async fn admit(&self, id: &Arc<str>) -> Result<Arc<Route>, Failure> {
        let route = self.node.route(&self.database)?;
        self.node.check_key(&self.account, &self.key, &route)?;
        if !route.is_public {
            self.node.take_token(&self.account, id, &route).await?;
        }
        Ok(route)
    }

    /// Returns how long the open transaction may stay idle; `None` if there is no limit.
    fn idle_time_left(&self) -> Option<Duration> {
        let idle = self.node.revision().transaction_idle_timeout;
        let is_open = self
            .transaction
            .as_ref()
            .is_some_and(|open| !open.is_failed);
        let until = self.last_activity + idle;
        (is_open && idle > Span::ZERO).then(|| until.since(self.node.now()).into())
    }

    /// Returns how long the open transaction may stay at a server of an evacuated zone; `None` if it
    /// isn't at one.
    fn evacuation_time_left(&self) -> Option<Duration> {
        let deadline = self.transaction.as_ref()?.deadline()?;
        Some(deadline.since(self.node.now()).into())
    }

    /// Aborts a transaction at a server whose zone must be free of requests by now.
    fn end_evacuated_transaction(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            log::debug!("event=transaction-evacuated account={}", self.account);
            transaction.abort();
        }
    }

    /// Aborts a transaction that exceeded the idle timeout.
    fn end_idle_transaction(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            log::debug!("event=transaction-idle-timeout account={}", self.account);
            transaction.abort();
        }
    }
}

impl Node {
    /// Returns whether idle sessions should close.
    fn is_draining(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed) || lock(&self.readiness).is_lost()
    }
}

fn too_many(what: &str) -> Failure {
    let text = format!("a session holds at most {ENTRIES_MAX} {what}");
    Failure::new(Code::Busy, &text)
}
