//! One client's session: its transaction and the statements it runs.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use pgwire::api::Type;
use rusqlite::types::Value;
use tokio::sync::Mutex;

use super::answer::Done;
use super::answer::Edge;
use super::answer::answer;
use super::answer::done;
use super::answer::one_row;
use super::answer::rows;
use super::answer::status;
use crate::group::Refusal;
use crate::group::Server;
use crate::group::Transaction;
use crate::sql;
use crate::sql::Column;
use crate::sql::Command;
use crate::sql::Failure;
use crate::sql::Output;

/// The session's transaction.
enum State {
    /// No transaction.
    Idle,
    /// Begun; nothing written yet.
    Reading,
    /// Begun, with changes.
    Writing(Transaction),
    /// Failed; waits for its end. The transaction is kept for savepoints.
    Failed(Option<Transaction>),
}

impl State {
    /// Takes the state for the time of a statement.
    ///
    /// What stays holds if the statement is dropped: an open transaction has failed then.
    fn suspend(&mut self) -> Self {
        let left = match self {
            State::Idle => State::Idle,
            _ => State::Failed(None),
        };
        std::mem::replace(self, left)
    }
}

/// A session on one connection.
pub(super) struct Session {
    pub(super) server: Arc<Server>,
    state: Mutex<State>,
    /// True while the open transaction belongs to one message.
    implicit: AtomicBool,
}

impl Session {
    pub(super) fn open(server: Arc<Server>) -> Self {
        Self {
            server,
            state: Mutex::new(State::Idle),
            implicit: AtomicBool::new(false),
        }
    }

    /// Runs one statement.
    ///
    /// If the future is dropped, an open transaction is rolled back and counts as failed.
    pub(super) async fn run(&self, command: &Command, values: &[Value]) -> Result<Done, Failure> {
        self.server.resumed().await;
        match command {
            Command::Status => return Ok(rows(status(&self.server), "SHOW")),
            Command::Promote { term } => return self.promote(*term).await,
            Command::Show { name } => return Ok(rows(one_row(name, ""), "SHOW")),
            Command::Nothing { tag } => return Ok(done(tag, Edge::Inside)),
            _ => {}
        }
        let mut state = self.state.lock().await;
        if matches!(
            command,
            Command::Begin | Command::Commit | Command::Rollback
        ) {
            self.implicit.store(false, Ordering::SeqCst);
        }
        match command {
            Command::Begin => Ok(begin(&mut state)),
            Command::Commit => self.commit(&mut state),
            Command::Rollback => {
                *state = State::Idle;
                Ok(done("ROLLBACK", Edge::End))
            }
            Command::Savepoint { text, back } => self.savepoint(&mut state, text, *back).await,
            Command::Sleep { seconds } => {
                self.sleep(&mut state, seconds.or(first_real(values))).await
            }
            Command::Sql { text, verb } => self.sql(&mut state, text, verb, values).await,
            _ => Err(Failure::new("0A000", "not supported by the stand-in")),
        }
    }

    /// Begins the transaction that several statements of one message share.
    ///
    /// Returns false if one is open already.
    pub(super) async fn begin_implicit(&self) -> bool {
        let mut state = self.state.lock().await;
        if self.implicit.swap(false, Ordering::SeqCst) {
            // The message before was cancelled midway, which ended its transaction.
            *state = State::Idle;
        }
        if !matches!(*state, State::Idle) {
            return false;
        }
        *state = State::Reading;
        self.implicit.store(true, Ordering::SeqCst);
        true
    }

    /// Ends that transaction, unless the statements took it over or ended it themselves.
    pub(super) async fn end_implicit(&self) -> Result<(), Failure> {
        let mut state = self.state.lock().await;
        if self.implicit.swap(false, Ordering::SeqCst) {
            self.commit(&mut state)?;
        }
        Ok(())
    }

    /// Returns a statement's parameter types and columns.
    pub(super) async fn describe(
        &self,
        command: &Command,
    ) -> Result<(Vec<Type>, Vec<Column>), Failure> {
        self.server.resumed().await;
        let columns = match command {
            Command::Status => status(&self.server).columns,
            Command::Show { name } => one_row(name, "").columns,
            Command::Sleep { seconds } => {
                let types = seconds.map_or(vec![Type::FLOAT8], |_| Vec::new());
                return Ok((types, one_row("pg_sleep", "").columns));
            }
            Command::Sql { text, .. } => return self.describe_sql(text).await,
            _ => Vec::new(),
        };
        Ok((Vec::new(), columns))
    }

    async fn describe_sql(&self, text: &str) -> Result<(Vec<Type>, Vec<Column>), Failure> {
        let state = self.state.lock().await;
        if let State::Writing(transaction) = &*state {
            let connection = transaction.connection();
            let columns = sql::describe(connection, text)?;
            return Ok((sql::parameter_types(connection, text), columns));
        }
        let store = self.server.store();
        let connection = store.reader();
        let columns = sql::describe(&connection, text)?;
        Ok((sql::parameter_types(&connection, text), columns))
    }

    async fn promote(&self, term: u64) -> Result<Done, Failure> {
        match self.server.promote(term).await {
            Ok(()) => Ok(done("ALTER SYSTEM", Edge::Inside)),
            Err(highest) => {
                let text = format!("term {term} is not above term {highest}");
                Err(Failure::new("55000", &text))
            }
        }
    }

    fn commit(&self, state: &mut State) -> Result<Done, Failure> {
        match std::mem::replace(state, State::Idle) {
            State::Idle | State::Reading => Ok(done("COMMIT", Edge::End)),
            State::Failed(_) => Ok(done("ROLLBACK", Edge::End)),
            State::Writing(transaction) => {
                self.server.commit(transaction).map_err(refused)?;
                Ok(done("COMMIT", Edge::End))
            }
        }
    }

    async fn savepoint(&self, state: &mut State, text: &str, back: bool) -> Result<Done, Failure> {
        let mut transaction = match state.suspend() {
            State::Idle => return Err(Failure::new("25P01", "no transaction is open")),
            State::Failed(Some(transaction)) if back => transaction,
            State::Failed(kept) => {
                *state = State::Failed(kept);
                return Err(aborted());
            }
            State::Reading => self.begin_write().await?,
            State::Writing(transaction) => transaction,
        };
        let result = transaction.savepoint(text);
        *state = match &result {
            Ok(()) => State::Writing(transaction),
            Err(_) => State::Failed(Some(transaction)),
        };
        result?;
        Ok(done(
            if back { "ROLLBACK" } else { "SAVEPOINT" },
            Edge::Inside,
        ))
    }

    async fn sleep(&self, state: &mut State, seconds: Option<f64>) -> Result<Done, Failure> {
        if matches!(state, State::Failed(_)) {
            return Err(aborted());
        }
        let seconds = seconds.unwrap_or_default().clamp(0.0, LONGEST_SLEEP_S);
        let before = state.suspend();
        let _slot = self.server.slots.acquire().await;
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        *state = before;
        Ok(rows(one_row("pg_sleep", ""), "SELECT"))
    }

    async fn sql(
        &self,
        state: &mut State,
        text: &str,
        verb: &str,
        values: &[Value],
    ) -> Result<Done, Failure> {
        let before = state.suspend();
        let (after, result) = match before {
            State::Failed(kept) => (State::Failed(kept), Err(aborted())),
            State::Idle => (State::Idle, self.autocommit(text, values).await),
            State::Reading => self.first(text, values).await,
            State::Writing(transaction) => self.next(transaction, text, values).await,
        };
        *state = after;
        Ok(answer(verb, result?))
    }

    /// Runs a statement outside a transaction.
    async fn autocommit(&self, text: &str, values: &[Value]) -> Result<Output, Failure> {
        if !self.writes(text)? {
            let _slot = self.work().await;
            self.server.count_read(text);
            return Ok(sql::execute(&self.server.store().reader(), text, values)?);
        }
        let mut transaction = self.begin_write().await?;
        let _slot = self.work().await;
        let output = transaction.run(text, values)?;
        self.server.commit(transaction).map_err(refused)?;
        Ok(output)
    }

    /// Runs a statement in a transaction that has not written.
    async fn first(&self, text: &str, values: &[Value]) -> (State, Result<Output, Failure>) {
        match self.writes(text) {
            Err(failure) => (State::Failed(None), Err(failure)),
            Ok(true) => match self.begin_write().await {
                Ok(transaction) => self.next(transaction, text, values).await,
                Err(failure) => (State::Failed(None), Err(failure)),
            },
            Ok(false) => {
                let _slot = self.work().await;
                self.server.count_read(text);
                let result = sql::execute(&self.server.store().reader(), text, values);
                let state = match &result {
                    Ok(_) => State::Reading,
                    Err(_) => State::Failed(None),
                };
                (state, result.map_err(Failure::from))
            }
        }
    }

    /// Runs a statement in a transaction that has written.
    async fn next(
        &self,
        mut transaction: Transaction,
        text: &str,
        values: &[Value],
    ) -> (State, Result<Output, Failure>) {
        let _slot = self.work().await;
        match transaction.run(text, values) {
            Ok(output) => (State::Writing(transaction), Ok(output)),
            Err(error) => (State::Failed(Some(transaction)), Err(error.into())),
        }
    }

    /// Takes a slot and keeps it for the time that a statement costs.
    async fn work(&self) -> Option<tokio::sync::SemaphorePermit<'_>> {
        let slot = self.server.slots.acquire().await.ok();
        let work_ms = self.server.options.work_ms;
        if work_ms > 0 {
            tokio::time::sleep(Duration::from_millis(work_ms)).await;
        }
        slot
    }

    fn writes(&self, text: &str) -> Result<bool, Failure> {
        let store = self.server.store();
        let reader = store.reader();
        let writes = !reader.prepare_cached(text)?.readonly();
        Ok(writes)
    }

    async fn begin_write(&self) -> Result<Transaction, Failure> {
        if !self.server.is_primary() {
            return Err(read_only());
        }
        let begun = Transaction::begin(self.server.store());
        match tokio::time::timeout(LOCK_TIMEOUT, begun).await {
            Ok(transaction) => Ok(transaction?),
            Err(_) => Err(Failure::new("55P03", "timeout while waiting for the lock")),
        }
    }
}

/// Longest wait for another transaction to end.
const LOCK_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest sleep in seconds.
const LONGEST_SLEEP_S: f64 = 3_600.0;

fn begin(state: &mut State) -> Done {
    if matches!(state, State::Idle) {
        *state = State::Reading;
    }
    done("BEGIN", Edge::Start)
}

fn first_real(values: &[Value]) -> Option<f64> {
    match values.first() {
        Some(Value::Real(seconds)) => Some(*seconds),
        _ => None,
    }
}

fn aborted() -> Failure {
    Failure::new("25P02", "the transaction has failed; roll it back first")
}

fn read_only() -> Failure {
    Failure::new("25006", "cannot write on a replica")
}

fn refused(refusal: Refusal) -> Failure {
    match refusal {
        Refusal::Demoted => Failure::new("25006", "the server is not the primary any more"),
        Refusal::Database(error) => error.into(),
    }
}
