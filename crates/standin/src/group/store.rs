//! The in-memory databases of one server.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use rusqlite::Connection;
use tokio::sync::OwnedMutexGuard;
use tokio::time::Instant;

use super::Statement;
use crate::sql;

/// Two copies of one server's data: one that transactions change, one with committed data only.
///
/// Both copies hold the same data whenever no transaction is open.
pub(crate) struct Store {
    writer: Arc<tokio::sync::Mutex<Connection>>,
    reader: Mutex<Connection>,
    open: Mutex<Option<Open>>,
}

/// The write transaction that is open, for whoever looks for what holds others up.
#[derive(Clone, Debug)]
pub struct Open {
    /// When it got the writer's place.
    pub since: Instant,
    /// Its latest statement.
    pub latest: Arc<str>,
}

impl Store {
    /// Opens an empty store.
    pub(crate) fn create() -> rusqlite::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            writer: Arc::new(tokio::sync::Mutex::new(Connection::open_in_memory()?)),
            reader: Mutex::new(Connection::open_in_memory()?),
            open: Mutex::default(),
        }))
    }

    /// Waits for the only writer's place.
    pub(crate) async fn writer(&self) -> OwnedMutexGuard<Connection> {
        Arc::clone(&self.writer).lock_owned().await
    }

    /// Returns the write transaction that is open.
    pub(crate) fn open_transaction(&self) -> Option<Open> {
        self.lock_open().clone()
    }

    /// Takes note of the open transaction's latest statement.
    pub(super) fn note(&self, text: &str) {
        let mut open = self.lock_open();
        let since = open.as_ref().map_or_else(Instant::now, |open| open.since);
        let latest = Arc::from(text);
        *open = Some(Open { since, latest });
    }

    /// Takes note that no transaction is open.
    pub(super) fn note_end(&self) {
        *self.lock_open() = None;
    }

    fn lock_open(&self) -> MutexGuard<'_, Option<Open>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the writer's place of a store that nobody else knows yet.
    pub(crate) fn try_writer(&self) -> OwnedMutexGuard<Connection> {
        match Arc::clone(&self.writer).try_lock_owned() {
            Ok(writer) => writer,
            Err(_) => panic!("a fresh store is in use"),
        }
    }

    /// Returns the copy with committed data.
    pub(crate) fn reader(&self) -> MutexGuard<'_, Connection> {
        self.reader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a committed transaction to the copy that reads see.
    pub(crate) fn publish(&self, statements: &[Statement]) {
        apply(&self.reader(), statements);
    }

    /// Applies a replicated transaction to both copies.
    pub(crate) fn replay(&self, writer: &Connection, statements: &[Statement]) {
        apply(writer, statements);
        self.publish(statements);
    }
}

fn apply(connection: &Connection, statements: &[Statement]) {
    if statements.is_empty() {
        return;
    }
    let done = connection
        .execute_batch("BEGIN")
        .and_then(|()| run_all(connection, statements))
        .and_then(|()| connection.execute_batch("COMMIT"));
    assert!(done.is_ok(), "replay diverged from the log: {done:?}");
}

fn run_all(connection: &Connection, statements: &[Statement]) -> rusqlite::Result<()> {
    for statement in statements {
        sql::execute(connection, &statement.text, &statement.values)?;
    }
    Ok(())
}
