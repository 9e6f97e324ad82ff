//! The protocol handlers of one connection.

use std::fmt::Debug;
use std::sync::Arc;

use async_trait::async_trait;
use futures::Sink;
use pgwire::api::ClientInfo;
use pgwire::api::ClientPortalStore;
use pgwire::api::PgWireServerHandlers;
use pgwire::api::Type;
use pgwire::api::cancel::CancelHandler;
use pgwire::api::cancel::DefaultCancelHandler;
use pgwire::api::portal::Format;
use pgwire::api::portal::Portal;
use pgwire::api::query::ExtendedQueryHandler;
use pgwire::api::query::SimpleQueryHandler;
use pgwire::api::results::DescribePortalResponse;
use pgwire::api::results::DescribeStatementResponse;
use pgwire::api::results::Response;
use pgwire::api::stmt::NoopQueryParser;
use pgwire::api::stmt::StoredStatement;
use pgwire::api::store::PortalStore;
use pgwire::error::PgWireError;
use pgwire::error::PgWireResult;
use pgwire::messages::PgWireBackendMessage;
use tokio::net::TcpStream;

use super::reply;
use super::session::Session;
use super::startup::Startup;
use crate::group::Server;
use crate::sql;
use crate::sql::Column;
use crate::sql::Command;
use crate::sql::Failure;

/// Serves one connection until it closes; an open transaction is then rolled back.
pub(crate) async fn serve(socket: TcpStream, server: Arc<Server>) -> std::io::Result<()> {
    let handlers = Handlers {
        startup: Arc::new(Startup::open(Arc::clone(&server))),
        cancel: Arc::new(DefaultCancelHandler::new(Arc::clone(&server.manager))),
        query: Arc::new(Query {
            session: Session::open(server),
            parser: Arc::new(NoopQueryParser::new()),
        }),
    };
    pgwire::tokio::process_socket(socket, None, handlers).await
}

struct Handlers {
    startup: Arc<Startup>,
    cancel: Arc<DefaultCancelHandler>,
    query: Arc<Query>,
}

impl PgWireServerHandlers for Handlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        Arc::clone(&self.query)
    }

    fn extended_query_handler(&self) -> Arc<impl ExtendedQueryHandler> {
        Arc::clone(&self.query)
    }

    fn startup_handler(&self) -> Arc<impl pgwire::api::auth::StartupHandler> {
        Arc::clone(&self.startup)
    }

    fn cancel_handler(&self) -> Arc<impl CancelHandler> {
        Arc::clone(&self.cancel)
    }
}

struct Query {
    session: Session,
    parser: Arc<NoopQueryParser>,
}

impl Query {
    async fn simple(&self, text: &str) -> PgWireResult<Vec<Response>> {
        let mut responses = Vec::new();
        let commands = sql::parse(text)?;
        let implicit = commands.len() > 1 && self.session.begin_implicit().await;
        for command in &commands {
            match self.session.run(command, &[]).await {
                Ok(done) => responses.push(reply::response(done, &Format::UnifiedText)?),
                Err(failure) => {
                    responses.push(Response::Error(Box::new(reply::info(&failure))));
                    break;
                }
            }
        }
        if implicit && let Err(failure) = self.session.end_implicit().await {
            responses.push(Response::Error(Box::new(reply::info(&failure))));
        }
        Ok(responses)
    }

    async fn describe(&self, text: &str) -> PgWireResult<(Vec<Type>, Vec<Column>)> {
        Ok(self.session.describe(&single(text)?).await?)
    }
}

fn single(text: &str) -> Result<Command, Failure> {
    let mut commands = sql::parse(text)?;
    match commands.len() {
        1 => Ok(commands.remove(0)),
        _ => Err(Failure::new(
            "42601",
            "cannot insert multiple commands into a prepared statement",
        )),
    }
}

#[async_trait]
impl SimpleQueryHandler for Query {
    async fn do_query<C>(&self, _client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.simple(query).await
    }
}

#[async_trait]
impl ExtendedQueryHandler for Query {
    type Statement = String;
    type QueryParser = NoopQueryParser;

    fn query_parser(&self) -> Arc<Self::QueryParser> {
        Arc::clone(&self.parser)
    }

    async fn do_query<C>(
        &self,
        _client: &mut C,
        portal: &Portal<Self::Statement>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let text = &portal.statement.statement;
        let command = single(text)?;
        let values = if portal.parameter_len() > 0 {
            let description = self.session.describe(&command).await?;
            reply::parameters(portal, &description.0)?
        } else {
            Vec::new()
        };
        let done = self.session.run(&command, &values).await?;
        reply::response(done, &portal.result_column_format)
    }

    async fn do_describe_statement<C>(
        &self,
        _client: &mut C,
        target: &StoredStatement<Self::Statement>,
    ) -> PgWireResult<DescribeStatementResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let (inferred, columns) = self.describe(&target.statement).await?;
        let types = inferred
            .into_iter()
            .enumerate()
            .map(|(index, kind)| {
                let given = target.parameter_types.get(index).cloned().flatten();
                given.unwrap_or(kind)
            })
            .collect();
        let fields = reply::fields(&columns, &Format::UnifiedBinary);
        Ok(DescribeStatementResponse::new(types, fields))
    }

    async fn do_describe_portal<C>(
        &self,
        _client: &mut C,
        target: &Portal<Self::Statement>,
    ) -> PgWireResult<DescribePortalResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let (_, columns) = self.describe(&target.statement.statement).await?;
        let fields = reply::fields(&columns, &target.result_column_format);
        Ok(DescribePortalResponse::new(fields))
    }
}
