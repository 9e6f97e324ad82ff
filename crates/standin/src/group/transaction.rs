//! A transaction that writes.

use std::sync::Arc;

use rusqlite::Connection;
use rusqlite::types::Value;
use tokio::sync::OwnedMutexGuard;

use super::Statement;
use super::Store;
use crate::sql;

/// An open write transaction; dropping it rolls it back.
pub(crate) struct Transaction {
    /// The store it began on; the server may have got another one since.
    pub(super) store: Arc<Store>,
    writer: OwnedMutexGuard<Connection>,
    statements: Vec<Statement>,
    open: bool,
}

impl Transaction {
    /// Waits for the writer's place and begins.
    pub(crate) async fn begin(store: Arc<Store>) -> rusqlite::Result<Self> {
        let writer = store.writer().await;
        writer.execute_batch("BEGIN")?;
        store.note("BEGIN");
        Ok(Self {
            store,
            writer,
            statements: Vec::new(),
            open: true,
        })
    }

    /// Runs one statement and keeps it for the log if it changes data.
    pub(crate) fn run(&mut self, text: &str, values: &[Value]) -> rusqlite::Result<sql::Output> {
        self.store.note(text);
        let output = sql::execute(&self.writer, text, values)?;
        if output.changes {
            self.statements.push(Statement {
                text: Arc::from(text),
                values: values.to_vec(),
            });
        }
        Ok(output)
    }

    /// Sets, releases or returns to a savepoint; the log repeats it.
    pub(crate) fn savepoint(&mut self, text: &str) -> rusqlite::Result<()> {
        self.store.note(text);
        self.writer.execute_batch(text)?;
        self.statements.push(Statement {
            text: Arc::from(text),
            values: Vec::new(),
        });
        Ok(())
    }

    /// Returns the connection that sees the transaction's own changes.
    pub(crate) fn connection(&self) -> &Connection {
        &self.writer
    }

    /// Commits the writer's copy and returns what has to go into the log.
    pub(super) fn finish(mut self) -> rusqlite::Result<Vec<Statement>> {
        self.writer.execute_batch("COMMIT")?;
        self.open = false;
        Ok(std::mem::take(&mut self.statements))
    }
}

impl Drop for Transaction {
    fn drop(&mut self) {
        self.store.note_end();
        if !self.open {
            return;
        }
        if let Err(error) = self.writer.execute_batch("ROLLBACK") {
            log::warn!("kind=statement what=rollback-failed error={error:?}");
        }
    }
}
