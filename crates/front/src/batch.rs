//! The transaction that PostgreSQL opens around the statements before one `Sync`.

use sql::Kind;
use sql::Statement;

use crate::Request;
use crate::Transaction;
use crate::connection::Connection;
use crate::ending::at_once;
use crate::watch::Halt;

impl Connection {
    /// Begins a transaction, unless the statement in hand is the only one before `Sync`.
    pub(crate) async fn begin_batch(&mut self) -> Result<(), Halt> {
        let is_alone = tokio::select! {
            biased;
            ending = at_once(&mut self.ended) => return Err(Halt::from(ending)),
            ending = at_once(&mut self.stop) => return Err(Halt::from(ending)),
            ends = self.wire.ends_with_sync() => ends?,
        };
        if is_alone {
            return Ok(());
        }
        let begin = control("BEGIN", Kind::Begin { read_only: false });
        self.execute(begin).await?;
        self.store.in_transaction = true;
        Ok(())
    }

    /// Ends the transaction that `begin_batch` began.
    pub(crate) async fn end_batch(&mut self) -> Result<(), Halt> {
        let state = self.session.transaction();
        let began = std::mem::take(&mut self.store.in_transaction);
        if !began || state == Transaction::Idle {
            return Ok(());
        }
        let request = if self.store.skipping || state == Transaction::Failed {
            control("ROLLBACK", Kind::Rollback)
        } else {
            control("COMMIT", Kind::Commit)
        };
        let response = self.execute(request).await?;
        self.tell_parameters(&response).await
    }
}

/// Returns false for statements that change nothing or control a transaction themselves.
pub fn needs_transaction(kind: &Kind) -> bool {
    !matches!(
        kind,
        Kind::Read | Kind::Variable(_) | Kind::Begin { .. } | Kind::Commit | Kind::Rollback
    )
}

fn control(text: &str, kind: Kind) -> Request {
    let statement = Statement {
        text: text.into(),
        kind,
        idempotency_key: None,
        fingerprint: 0,
    };
    Request::Simple {
        statements: vec![statement],
    }
}
