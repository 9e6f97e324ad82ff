//! Extended queries: parse, bind, describe, execute, close and sync.

use std::sync::Arc;

use endpoint::Column;
use endpoint::Description;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::data::NoData;
use pgwire::messages::data::ParameterDescription;
use pgwire::messages::extendedquery::Bind;
use pgwire::messages::extendedquery::BindComplete;
use pgwire::messages::extendedquery::Close;
use pgwire::messages::extendedquery::CloseComplete;
use pgwire::messages::extendedquery::Describe;
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::extendedquery::ParseComplete;
use pgwire::messages::extendedquery::TARGET_TYPE_BYTE_PORTAL;
use pgwire::messages::extendedquery::TARGET_TYPE_BYTE_STATEMENT;
use postgres_types::Type;
use sql::Kind;
use sql::Statement;
use sql::Variable;

use crate::Refusal;
use crate::Transaction;
use crate::connection::Connection;
use crate::convert;
use crate::guard;
use crate::prepared::Portal;
use crate::prepared::Prepared;
use crate::prepared::Progress;
use crate::prepared::format_at;
use crate::reply;
use crate::watch::Halt;

impl Connection {
    /// Handles one message of an extended query.
    pub(crate) async fn extended(&mut self, message: PgWireFrontendMessage) -> Result<(), Halt> {
        if let PgWireFrontendMessage::Sync(_) = message {
            return self.sync().await;
        }
        self.store.in_batch = true;
        if self.store.skipping {
            return Ok(());
        }
        let step = match message {
            PgWireFrontendMessage::Parse(parse) => self.parse(parse).await,
            PgWireFrontendMessage::Bind(bind) => self.bind(bind).await,
            PgWireFrontendMessage::Describe(describe) => self.describe_target(describe).await,
            PgWireFrontendMessage::Execute(execute) => self.execute_portal(execute).await,
            PgWireFrontendMessage::Close(close) => self.close_target(&close).await,
            _ => Ok(self.wire.flush().await?),
        };
        let Err(halt) = step else {
            return Ok(());
        };
        self.store.skipping = true;
        self.refuse(halt).await
    }

    async fn sync(&mut self) -> Result<(), Halt> {
        if let Err(halt) = self.end_batch().await {
            self.refuse(halt).await?;
        }
        self.store.sync();
        if self.session.transaction() == Transaction::Idle {
            self.store.close_portals();
        }
        self.ready().await
    }

    async fn parse(&mut self, parse: Parse) -> Result<(), Halt> {
        let statement = single(&parse.query)?;
        let prepared = Prepared {
            statement,
            types: parse.type_oids,
            description: None,
        };
        let name = parse.name.unwrap_or_default();
        self.store.prepare(&name, prepared)?;
        let done = PgWireBackendMessage::ParseComplete(ParseComplete::new());
        self.wire.feed(done).await?;
        Ok(())
    }

    async fn bind(&mut self, bind: Bind) -> Result<(), Halt> {
        let name = bind.statement_name.unwrap_or_default();
        let prepared = self.store.prepared(&name)?.clone();
        let formats = bind.parameter_format_codes;
        let mut prepared = prepared;
        if bind.parameters.iter().enumerate().any(|(index, value)| {
            value.is_some() && format_at(&formats, index) == 0 && type_at(&prepared, index) == 0
        }) {
            let description = self.ensure_prepared(&name).await?;
            prepared.description = Some(description);
        }
        let mut values = Vec::with_capacity(bind.parameters.len());
        for (index, value) in bind.parameters.into_iter().enumerate() {
            let text = format_at(&formats, index) == 0;
            values.push(match value {
                Some(value) if text => Some(convert::to_binary(type_at(&prepared, index), value)?),
                other => other,
            });
        }
        let portal = Portal {
            statement: prepared.statement,
            types: prepared.types,
            values,
            formats: bind.result_column_format_codes,
            description: prepared.description,
            progress: Progress::Fresh,
        };
        let name = bind.portal_name.unwrap_or_default();
        self.store.bind(&name, portal)?;
        let done = PgWireBackendMessage::BindComplete(BindComplete::new());
        self.wire.feed(done).await?;
        Ok(())
    }

    async fn describe_target(&mut self, describe: Describe) -> Result<(), Halt> {
        let name = describe.name.unwrap_or_default();
        if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let description = self.ensure_prepared(&name).await?;
            let types = ParameterDescription::new(description.parameters.clone());
            self.wire
                .feed(PgWireBackendMessage::ParameterDescription(types))
                .await?;
            return self.tell_columns(&description.columns, |_| 0).await;
        }
        let description = self.ensure_portal(&name).await?;
        let portal = self.store.portal(&name)?.clone();
        let format = |index| portal.format(index);
        self.tell_columns(&description.columns, format).await
    }

    async fn tell_columns(
        &mut self,
        columns: &[Column],
        format: impl Fn(usize) -> i16,
    ) -> Result<(), Halt> {
        let message = if columns.is_empty() {
            PgWireBackendMessage::NoData(NoData::new())
        } else {
            reply::description(columns, format)
        };
        self.wire.feed(message).await?;
        Ok(())
    }

    /// Returns what the session says about a prepared statement; it is asked once.
    async fn ensure_prepared(&mut self, name: &str) -> Result<Arc<Description>, Halt> {
        let prepared = self.store.prepared(name)?.clone();
        if let Some(description) = prepared.description {
            return Ok(description);
        }
        let asked = self.ask(prepared.statement, &prepared.types).await?;
        let description = Arc::new(asked);
        self.store.prepared(name)?.description = Some(Arc::clone(&description));
        Ok(description)
    }

    /// Returns what the session says about a portal's statement; it is asked once.
    pub(crate) async fn ensure_portal(&mut self, name: &str) -> Result<Arc<Description>, Halt> {
        let portal = self.store.portal(name)?.clone();
        if let Some(description) = portal.description {
            return Ok(description);
        }
        let asked = self.ask(portal.statement, &portal.types).await?;
        let description = Arc::new(asked);
        self.store.portal(name)?.description = Some(Arc::clone(&description));
        Ok(description)
    }

    async fn ask(
        &mut self,
        statement: Option<Statement>,
        types: &[u32],
    ) -> Result<Description, Halt> {
        let Some(statement) = statement else {
            return Ok(Description::default());
        };
        if let Some(description) = known(&statement.kind) {
            return Ok(description);
        }
        let transaction = self.session.transaction();
        let statement = self.guard.pass(statement, transaction)?;
        self.describe(&statement, types).await
    }

    async fn close_target(&mut self, close: &Close) -> Result<(), Halt> {
        let name = close.name.as_deref().unwrap_or_default();
        match close.target_type {
            TARGET_TYPE_BYTE_PORTAL => self.store.close_portal(name),
            _ => self.store.close_prepared(name),
        }
        let done = PgWireBackendMessage::CloseComplete(CloseComplete::new());
        self.wire.feed(done).await?;
        Ok(())
    }
}

/// Returns the only statement of a text, or `None` for an empty text.
fn single(text: &str) -> Result<Option<Statement>, Refusal> {
    let mut statements = guard::parse(text)?;
    if statements.len() > 1 {
        let message = "cannot insert multiple commands into a prepared statement";
        return Err(Refusal::error("42601", message).not_run(None));
    }
    Ok(statements.pop())
}

/// Returns how statements look that need no endpoint to be described.
fn known(kind: &Kind) -> Option<Description> {
    match kind {
        Kind::Variable(Variable::Show { name }) => Some(Description {
            parameters: Vec::new(),
            columns: vec![Column {
                name: Arc::from(format!("yuccamount.{name}")),
                type_oid: Type::TEXT.oid(),
            }],
        }),
        Kind::Begin { .. }
        | Kind::Commit
        | Kind::Rollback
        | Kind::Savepoint
        | Kind::SessionSet { .. }
        | Kind::Variable(_) => Some(Description::default()),
        _ => None,
    }
}

/// Returns a parameter's type, 0 if it is not known.
fn type_at(prepared: &Prepared, index: usize) -> u32 {
    let given = prepared.types.get(index).copied().unwrap_or(0);
    if given != 0 {
        return given;
    }
    let description = prepared.description.as_ref();
    let inferred = description.and_then(|known| known.parameters.get(index));
    inferred.copied().unwrap_or(0)
}
