//! Refuses statements that cannot be served, with the effect an error has in a transaction.

use sql::Kind;
use sql::Statement;

use crate::Refusal;
use crate::Transaction;

/// Keeps a transaction failed once its client was told of an error.
#[derive(Clone, Copy, Debug, Default)]
pub struct Guard {
    /// The client's transaction failed here, while the endpoint still holds it open.
    failed: bool,
}

impl Guard {
    /// Parses a text and returns its statements if all may run.
    pub fn admit(
        &mut self,
        text: &str,
        transaction: Transaction,
    ) -> Result<Vec<Statement>, Refusal> {
        let statements = parse(text)?;
        let mut passed = Vec::with_capacity(statements.len());
        for statement in statements {
            passed.push(self.pass(statement, transaction)?);
        }
        Ok(passed)
    }

    /// Takes note that the client was told of an error within the transaction.
    pub fn fail(&mut self, transaction: Transaction) {
        self.failed = transaction == Transaction::Open;
    }

    /// Returns the state that the client is told.
    pub fn visible(&self, transaction: Transaction) -> Transaction {
        if self.failed && transaction == Transaction::Open {
            return Transaction::Failed;
        }
        transaction
    }

    /// Returns what a statement becomes in the transaction's present state.
    pub fn pass(
        &mut self,
        statement: Statement,
        transaction: Transaction,
    ) -> Result<Statement, Refusal> {
        if self.visible(transaction) != Transaction::Failed || transaction == Transaction::Failed {
            self.failed = false;
            return Ok(statement);
        }
        match statement.kind {
            Kind::Commit | Kind::Rollback => {
                self.failed = false;
                Ok(rollback())
            }
            Kind::Savepoint if is_rollback(&statement.text) => {
                self.failed = false;
                Ok(statement)
            }
            _ => Err(aborted()),
        }
    }
}

/// Parses a text; it is refused whole if one of its statements is.
pub fn parse(text: &str) -> Result<Vec<Statement>, Refusal> {
    let statements = sql::parse(text)
        .map_err(|error| Refusal::error(error.code(), error.to_string()).not_run(None))?;
    for statement in &statements {
        if let Kind::Refused { code, why } = statement.kind {
            return Err(Refusal::error(code, why).not_run(None));
        }
    }
    Ok(statements)
}

fn is_rollback(text: &str) -> bool {
    text.get(..8)
        .is_some_and(|word| word.eq_ignore_ascii_case("rollback"))
}

fn rollback() -> Statement {
    Statement {
        text: "ROLLBACK".into(),
        kind: Kind::Rollback,
        idempotency_key: None,
        fingerprint: 0,
    }
}

fn aborted() -> Refusal {
    let message = "current transaction is aborted, commands ignored until end of transaction block";
    Refusal::error("25P02", message).not_run(None)
}
