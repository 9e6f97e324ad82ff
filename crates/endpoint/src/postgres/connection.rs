//! A connection to a PostgreSQL server.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use futures::future::join;
use futures::pin_mut;
use tokio::task::AbortHandle;
use tokio_postgres::CancelToken;
use tokio_postgres::Client;
use tokio_postgres::NoTls;
use tokio_postgres::Row;
use tokio_postgres::SimpleQueryMessage;
use tokio_postgres::Statement;

use super::cache::Cache;
use super::error;
use super::raw::Raw;
use crate::Answer;
use crate::Canceller;
use crate::Column;
use crate::Description;
use crate::Error;
use crate::Position;
use crate::Query;
use crate::Reply;
use crate::Role;
use crate::Status;

/// The statement that returns a server's replication state.
const STATUS_QUERY: &str = "SHOW yuccamount.status";

/// The object identifier (OID) of the PostgreSQL type `text`.
const TEXT_OID: u32 = 25;

/// First keywords of statements that may return rows.
const ROW_KEYWORDS: [&str; 6] = ["SELECT", "WITH", "VALUES", "SHOW", "EXPLAIN", "TABLE"];

/// A client connection and its prepared-statement cache.
pub(super) struct Connection {
    peer: Arc<str>,
    client: Client,
    cache: Cache,
    driver: AbortHandle,
}

impl Connection {
    pub(super) fn open(peer: Arc<str>, client: Client, driver: AbortHandle) -> Self {
        Self {
            peer,
            client,
            cache: Cache::default(),
            driver,
        }
    }

    async fn run_simple(&self, text: &str) -> Result<Answer, Error> {
        if !may_return_rows(text) {
            let messages = self.client.simple_query(text).await;
            let messages = messages.map_err(|cause| self.statement_error("query", &cause))?;
            return Ok(simple_answer(text, messages, None));
        }
        // `simple_query` does not return the column types. A prepare in the same round trip
        // supplies them.
        let (statement, messages) =
            tokio::join!(self.client.prepare(text), self.client.simple_query(text));
        let statement = statement.map_err(|cause| self.statement_error("query", &cause))?;
        let messages = messages.map_err(|cause| self.statement_error("query", &cause))?;
        Ok(simple_answer(text, messages, Some(columns_of(&statement))))
    }

    async fn prepare(
        &self,
        text: &str,
        types: &[u32],
        values: &[Option<Bytes>],
    ) -> Result<Statement, Error> {
        let prepared = self.cache.get(&self.client, text, types).await;
        let statement = prepared.map_err(|cause| self.statement_error("prepare", &cause))?;
        if statement.params().len() != values.len() {
            return Err(self.parameter_count_error(statement.params().len(), values.len()));
        }
        Ok(statement)
    }

    async fn run_extended(
        &self,
        statement: &Statement,
        text: &str,
        values: &[Option<Bytes>],
    ) -> Result<Answer, Error> {
        let parameters = values.iter().map(|value| Raw(value.clone()));
        let stream = self.client.query_raw(statement, parameters).await;
        let stream = stream.map_err(|cause| self.statement_error("execute", &cause))?;
        pin_mut!(stream);
        let mut rows = Vec::new();
        while let Some(row) = stream.next().await {
            let row = row.map_err(|cause| self.statement_error("execute", &cause))?;
            rows.push(self.row(&row)?);
        }
        let columns = columns_of(statement);
        let affected = stream.rows_affected().unwrap_or_default();
        let reply = Reply {
            columns: (!columns.is_empty()).then_some(columns),
            rows,
            tag: tag(text),
            affected,
        };
        Ok(Answer {
            replies: vec![reply],
        })
    }

    fn row(&self, row: &Row) -> Result<Vec<Option<Bytes>>, Error> {
        (0..row.len())
            .map(|index| {
                let value: Result<Raw, _> = row.try_get(index);
                value
                    .map(|raw| raw.0)
                    .map_err(|cause| self.statement_error("decode", &cause))
            })
            .collect()
    }

    fn parameter_count_error(&self, expected: usize, found: usize) -> Error {
        Error::Server {
            step: "bind",
            peer: Arc::clone(&self.peer),
            code: Arc::from("08P01"),
            message: format!("the statement takes {expected} parameters, not {found}"),
            detail: None,
            hint: None,
        }
    }

    fn statement_error(&self, step: &'static str, cause: &tokio_postgres::Error) -> Error {
        error::from_statement(step, &self.peer, cause)
    }

    /// Clears the prepared-statement cache after an error, since the schema may have changed.
    fn clear_cache_on_error(&self, answer: &Result<Answer, Error>) {
        if answer.is_err() {
            self.cache.clear();
        }
    }

    async fn query_status(&self) -> Result<Status, Error> {
        let messages = self.client.simple_query(STATUS_QUERY).await;
        let messages = messages.map_err(|cause| self.statement_error("status", &cause))?;
        let status = messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => parse_status(row),
            _ => None,
        });
        status.ok_or_else(|| Error::Unknown {
            step: "status",
            peer: Arc::clone(&self.peer),
            why: "the server reported no replication state".to_owned(),
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the socket at once, so that nothing else reads a partially received response.
        self.driver.abort();
    }
}

#[async_trait]
impl crate::Connection for Connection {
    async fn run(&mut self, query: &Query) -> Result<Answer, Error> {
        let answer = match query {
            Query::Simple { text } => self.run_simple(text).await,
            Query::Extended {
                text,
                types,
                values,
            } => {
                let statement = self.prepare(text, types, values).await?;
                self.run_extended(&statement, text, values).await
            }
        };
        self.clear_cache_on_error(&answer);
        answer
    }

    async fn run_with_status(
        &mut self,
        query: &Query,
    ) -> Result<(Answer, Result<Status, Error>), Error> {
        // `join` polls in argument order, so the statement is sent before the status query.
        let (answer, status) = match query {
            Query::Simple { text } => join(self.run_simple(text), self.query_status()).await,
            Query::Extended {
                text,
                types,
                values,
            } => {
                let statement = self.prepare(text, types, values).await?;
                let run = self.run_extended(&statement, text, values);
                join(run, self.query_status()).await
            }
        };
        self.clear_cache_on_error(&answer);
        Ok((answer?, status))
    }

    async fn describe(&mut self, text: &str, types: &[u32]) -> Result<Description, Error> {
        let prepared = self.cache.get(&self.client, text, types).await;
        let statement = prepared.map_err(|cause| self.statement_error("describe", &cause))?;
        Ok(Description {
            parameters: statement.params().iter().map(|ty| ty.oid()).collect(),
            columns: columns_of(&statement),
        })
    }

    async fn status(&mut self) -> Result<Status, Error> {
        self.query_status().await
    }

    async fn promote(&mut self, term: u64) -> Result<(), Error> {
        let text = format!("ALTER SYSTEM PROMOTE TERM {term}");
        let result = self.client.simple_query(&text).await;
        result
            .map(|_| ())
            .map_err(|cause| self.statement_error("promote", &cause))
    }

    fn canceller(&self) -> Arc<dyn Canceller> {
        Arc::new(Token(self.client.cancel_token()))
    }

    fn is_closed(&self) -> bool {
        self.client.is_closed()
    }
}

/// Sends a PostgreSQL cancel request over a separate connection.
struct Token(CancelToken);

#[async_trait]
impl Canceller for Token {
    async fn cancel(&self) {
        if let Err(cause) = self.0.cancel_query(NoTls).await {
            log::debug!("event=cancel-request-failed error={cause:?}");
        }
    }
}

fn columns_of(statement: &Statement) -> Vec<Column> {
    statement
        .columns()
        .iter()
        .map(|column| Column {
            name: Arc::from(column.name()),
            type_oid: column.type_().oid(),
        })
        .collect()
}

fn simple_answer(
    text: &str,
    messages: Vec<SimpleQueryMessage>,
    described: Option<Vec<Column>>,
) -> Answer {
    let mut replies = Vec::new();
    let mut columns = None;
    let mut rows = Vec::new();
    for message in messages {
        match message {
            SimpleQueryMessage::RowDescription(names) => {
                columns = Some(described.clone().unwrap_or_else(|| {
                    names
                        .iter()
                        .map(|column| Column {
                            name: Arc::from(column.name()),
                            type_oid: TEXT_OID,
                        })
                        .collect()
                }));
            }
            SimpleQueryMessage::Row(row) => {
                let values = (0..row.len()).map(|index| {
                    row.get(index)
                        .map(|value| Bytes::copy_from_slice(value.as_bytes()))
                });
                rows.push(values.collect());
            }
            SimpleQueryMessage::CommandComplete(affected) => replies.push(Reply {
                columns: columns.take(),
                rows: std::mem::take(&mut rows),
                tag: tag(text),
                affected,
            }),
            _ => {}
        }
    }
    Answer { replies }
}

fn may_return_rows(text: &str) -> bool {
    let tag = tag(text);
    ROW_KEYWORDS.contains(&&*tag) || text.to_ascii_uppercase().contains("RETURNING")
}

/// Returns the first keyword of a statement in upper case.
fn tag(text: &str) -> Arc<str> {
    let word = text
        .split(|c: char| !c.is_ascii_alphabetic())
        .find(|word| !word.is_empty())
        .unwrap_or_default();
    Arc::from(word.to_ascii_uppercase())
}

fn parse_status(row: &tokio_postgres::SimpleQueryRow) -> Option<Status> {
    let number = |name: &str| row.get(name)?.parse::<u64>().ok();
    Some(Status {
        role: row.get("role")?.parse::<Role>().ok()?,
        received: Position {
            term: number("received_term")?,
            offset: number("received_offset")?,
        },
        applied: Position {
            term: number("applied_term")?,
            offset: number("applied_offset")?,
        },
    })
}
