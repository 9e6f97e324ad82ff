//! Running portals and handing out their rows.

use bytes::Bytes;
use endpoint::Column;
use endpoint::Reply;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::extendedquery::Execute;
use pgwire::messages::extendedquery::PortalSuspended;
use pgwire::messages::response::EmptyQueryResponse;
use sql::Statement;

use crate::Refusal;
use crate::Request;
use crate::Response;
use crate::Transaction;
use crate::batch;
use crate::connection::Connection;
use crate::convert;
use crate::prepared::Portal;
use crate::prepared::Progress;
use crate::reply;
use crate::watch::Halt;

impl Connection {
    /// Runs a portal, or goes on with its rows.
    pub(crate) async fn execute_portal(&mut self, execute: Execute) -> Result<(), Halt> {
        let name = execute.name.unwrap_or_default();
        let portal = self.store.portal(&name)?;
        let fresh = matches!(portal.progress, Progress::Fresh);
        match (fresh, portal.statement.clone()) {
            (true, Some(statement)) => self.run_portal(&name, statement).await?,
            (true, None) => {
                let empty = EmptyQueryResponse::new();
                let empty = PgWireBackendMessage::EmptyQueryResponse(empty);
                return Ok(self.wire.feed(empty).await?);
            }
            (false, _) => {}
        }
        let limit = usize::try_from(execute.max_rows).unwrap_or(0);
        self.send_rows(&name, limit).await
    }

    /// Runs a portal's statement and keeps its rows in the client's format.
    async fn run_portal(&mut self, name: &str, statement: Statement) -> Result<(), Halt> {
        let transaction = self.session.transaction();
        let statement = self.guard.pass(statement, transaction)?;
        if transaction == Transaction::Idle && batch::needs_transaction(&statement.kind) {
            self.begin_batch().await?;
        }
        let portal = self.store.portal(name)?.clone();
        let as_text = portal.values.is_empty() && portal.wants_text_only();
        let request = if as_text {
            Request::Simple {
                statements: vec![statement],
            }
        } else {
            if !portal.formats.iter().all(|format| *format == 1) || portal.formats.is_empty() {
                let description = self.ensure_portal(name).await?;
                check_text(&portal, &description.columns)?;
            }
            Request::Extended {
                statement,
                types: portal.types.clone(),
                values: portal.values.clone(),
            }
        };
        let response = self.execute(request).await?;
        self.tell_parameters(&response).await?;
        let progress = gather(&portal, response, as_text)?;
        self.store.portal(name)?.progress = progress;
        Ok(())
    }

    /// Sends up to `limit` of a portal's rows, or all for 0.
    async fn send_rows(&mut self, name: &str, limit: usize) -> Result<(), Halt> {
        let portal = self.store.portal(name)?;
        let progress = std::mem::replace(&mut portal.progress, Progress::Done);
        let Progress::Rows {
            mut reply,
            mut left,
        } = progress
        else {
            let message = format!("portal \"{name}\" cannot be run again");
            return Err(Refusal::error("55000", message).not_run(None).into());
        };
        let count = if limit == 0 { left.len() } else { limit };
        let sent = left.len().min(count);
        if reply.columns.is_some() {
            reply.affected = u64::try_from(sent).expect("a count of rows fits");
        }
        let rows: Vec<_> = left.drain(..sent).collect();
        let suspended = !left.is_empty();
        if suspended {
            let reply = reply.clone();
            portal.progress = Progress::Rows { reply, left };
        }
        for row in &rows {
            self.wire.feed(reply::row(row)).await?;
        }
        let end = if suspended {
            PgWireBackendMessage::PortalSuspended(PortalSuspended::new())
        } else {
            reply::complete(&reply)
        };
        self.wire.feed(end).await?;
        Ok(())
    }
}

/// Refuses columns that cannot be sent as text, before the statement runs.
fn check_text(portal: &Portal, columns: &[Column]) -> Result<(), Refusal> {
    let unknown = portal
        .text_columns(columns)
        .find(|column| !convert::is_known(column.type_oid));
    let Some(column) = unknown else {
        return Ok(());
    };
    let message = format!(
        "column \"{}\" of type {} cannot be sent as text; cast it to text or ask for binary",
        column.name, column.type_oid
    );
    Err(Refusal::error("0A000", message).not_run(None))
}

/// Puts an answer's rows into the client's format.
fn gather(portal: &Portal, response: Response, as_text: bool) -> Result<Progress, Refusal> {
    let Some(mut reply) = response.answer.replies.into_iter().next() else {
        return Err(Refusal::error("XX000", "the session gave no answer"));
    };
    let mut rows = std::mem::take(&mut reply.rows);
    if !as_text {
        for row in &mut rows {
            put_into_format(portal, &reply, row)?;
        }
    }
    Ok(Progress::Rows {
        reply,
        left: rows.into(),
    })
}

fn put_into_format(
    portal: &Portal,
    reply: &Reply,
    row: &mut [Option<Bytes>],
) -> Result<(), Refusal> {
    let columns = reply.columns.as_deref().unwrap_or_default();
    for (index, (value, column)) in row.iter_mut().zip(columns).enumerate() {
        if portal.format(index) == 1 {
            continue;
        }
        if let Some(binary) = value.take() {
            *value = Some(convert::to_text(column.type_oid, binary)?);
        }
    }
    Ok(())
}
