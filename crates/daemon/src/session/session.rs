//! One client's session.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use clock::Time;
use endpoint::Answer;
use endpoint::Description;
use endpoint::Query;
use front::Cancel;
use front::Ended;
use front::Hello;
use front::Refusal;
use front::Request;
use front::Response;
use front::Transaction;
use session::Bootstrap;
use session::Floors;
use sql::Kind;
use sql::Statement;
use timeline::event;

use super::admission;
use super::admission::is_control;
use super::cancel::Slot;
use super::context::Context;
use super::context::Work;
use super::idempotency;
use super::idempotency::Keyed;
use super::read;
use super::refuse;
use super::transaction::Block;
use super::transaction::Keep;
use super::variable;
use super::write;
use crate::node::Entry;
use crate::node::Node;

/// One client's session.
pub struct Session {
    context: Context,
    keep: Keep,
}

impl Session {
    /// Opens a session; a token among the startup parameters is taken over.
    pub fn open(
        node: Arc<Node>,
        entry: Arc<Entry>,
        group: Arc<str>,
        hello: &Hello,
    ) -> Result<Self, Refusal> {
        let arrived = node.now();
        let mut context = Context {
            node,
            entry,
            group,
            slot: Arc::new(Slot::default()),
            floors: Floors::default(),
            roaming: Some(Bootstrap::open(arrived)),
            idempotency_key: None,
            has_moved: false,
        };
        if let Some(text) = token_of(hello)
            && let Err(refusal) = variable::adopt(&mut context, &text)
        {
            context.node.sessions.remove(context.entry.id);
            return Err(Refusal {
                fatal: true,
                ..refusal
            });
        }
        Ok(Self {
            context,
            keep: Keep::default(),
        })
    }

    async fn run_request(&mut self, request: &Request) -> Result<Answer, Refusal> {
        match request {
            Request::Extended {
                statement,
                types,
                values,
            } => {
                let query = Query::Extended {
                    text: Arc::clone(&statement.text),
                    types: types.clone(),
                    values: values.clone(),
                };
                self.run_statement(statement, &query).await
            }
            Request::Simple { statements } => {
                let is_implicit = statements.len() > 1
                    && self.keep.block.is_none()
                    && statements.iter().any(|s| s.kind == Kind::Write)
                    && !statements.iter().any(is_control);
                if is_implicit {
                    return self.run_implicit(statements).await;
                }
                self.run_each(statements).await
            }
        }
    }

    async fn run_each(&mut self, statements: &[Statement]) -> Result<Answer, Refusal> {
        let mut whole = Answer::default();
        for statement in statements {
            let query = simple(&statement.text);
            let answer = self.run_statement(statement, &query).await?;
            whole.replies.extend(answer.replies);
        }
        Ok(whole)
    }

    /// Runs several statements of one message as one transaction.
    async fn run_implicit(&mut self, statements: &[Statement]) -> Result<Answer, Refusal> {
        let work = self.context.work()?;
        self.keep.block = Some(Block::open(Arc::from("BEGIN")));
        let whole = match self.run_each(statements).await {
            Ok(whole) => whole,
            Err(refusal) => {
                self.keep.rollback(&mut self.context, &work).await?;
                return Err(refusal);
            }
        };
        self.keep.commit(&mut self.context, &work).await?;
        Ok(whole)
    }

    async fn run_statement(
        &mut self,
        statement: &Statement,
        query: &Query,
    ) -> Result<Answer, Refusal> {
        let work = self.context.work()?;
        match &statement.kind {
            Kind::Refused { code, why } => Err(refuse::invalid(code, why)),
            Kind::Variable(name) => variable::run(&mut self.context, name),
            Kind::Begin { .. } => self.begin(statement),
            Kind::Commit => self.keep.commit(&mut self.context, &work).await,
            Kind::Rollback => self.keep.rollback(&mut self.context, &work).await,
            _ if self.keep.block.is_some() => self.run_in_block(&work, statement, query).await,
            Kind::Savepoint => {
                let message = "a savepoint needs an open transaction";
                Err(refuse::invalid("25P01", message))
            }
            Kind::SessionSet { local: true } => Ok(variable::done("SET")),
            Kind::SessionSet { local: false } | Kind::Pin(_) => {
                self.keep.pin(&self.context, &work).await?;
                let context = &mut self.context;
                self.keep.run_pinned(context, &work, query).await
            }
            Kind::Read | Kind::Write if self.keep.is_pinned => {
                let context = &mut self.context;
                self.keep.run_pinned(context, &work, query).await
            }
            Kind::Read => read::run(&mut self.context, &work, query).await,
            Kind::Write => self.write(&work, statement, query).await,
        }
    }

    async fn write(
        &mut self,
        work: &Work,
        statement: &Statement,
        query: &Query,
    ) -> Result<Answer, Refusal> {
        let key = statement
            .idempotency_key
            .clone()
            .or_else(|| self.context.idempotency_key.clone());
        let Some(key) = key else {
            return write::run(&mut self.context, work, query).await;
        };
        let keyed = Keyed {
            key: &key,
            statement,
            query,
        };
        idempotency::run(&mut self.context, work, &keyed).await
    }

    fn begin(&mut self, statement: &Statement) -> Result<Answer, Refusal> {
        if self.context.idempotency_key.is_some() {
            let message = "an idempotency key covers a single statement, not a transaction; \
                SET yuccamount.idempotency_key = '' first";
            return Err(refuse::invalid("0A000", message));
        }
        if self.keep.block.is_none() {
            self.keep.block = Some(Block::open(Arc::clone(&statement.text)));
        }
        Ok(variable::done("BEGIN"))
    }

    async fn run_in_block(
        &mut self,
        work: &Work,
        statement: &Statement,
        query: &Query,
    ) -> Result<Answer, Refusal> {
        if statement.idempotency_key.is_some() {
            let message = "an idempotency key covers a single statement, not a transaction";
            return Err(refuse::invalid("0A000", message));
        }
        if matches!(
            statement.kind,
            Kind::Pin(_) | Kind::SessionSet { local: false }
        ) {
            self.keep.pin(&self.context, work).await?;
        }
        let context = &mut self.context;
        self.keep.run_in_block(context, work, query).await
    }

    fn measure(&self, started: Time, result: &Result<Answer, Refusal>) {
        let node = &self.context.node;
        let elapsed = Duration::from(node.now().since(started));
        let code = result
            .as_ref()
            .map_or_else(|refusal| &*refusal.code, |_| "ok");
        node.meter.request(code, elapsed.as_secs_f64());
    }

    /// Returns the parameters that the client is to be told.
    fn changed_parameters(&mut self) -> Vec<(String, String)> {
        if !std::mem::take(&mut self.context.has_moved) {
            return Vec::new();
        }
        vec![(variable::TOKEN.to_owned(), variable::token(&self.context))]
    }
}

#[async_trait]
impl front::Session for Session {
    async fn run(&mut self, request: Request) -> Result<Response, Refusal> {
        admission::check_key(&self.context)?;
        let entry = Arc::clone(&self.context.entry);
        let cost = admission::cost(&request);
        admission::admit(&self.context, cost).await?;
        entry.statements.fetch_add(cost, Ordering::Relaxed);
        entry.is_running.store(true, Ordering::Relaxed);
        let started = self.context.node.now();
        let result = self.run_request(&request).await;
        self.measure(started, &result);
        entry.is_running.store(false, Ordering::Relaxed);
        entry
            .in_transaction
            .store(self.keep.block.is_some(), Ordering::Relaxed);
        if let Err(refusal) = &result {
            note(&self.context, refusal);
        }
        Ok(Response {
            answer: result?,
            parameters: self.changed_parameters(),
        })
    }

    fn transaction(&self) -> Transaction {
        match &self.keep.block {
            None => Transaction::Idle,
            Some(block) if block.is_failed => Transaction::Failed,
            Some(_) => Transaction::Open,
        }
    }

    async fn describe(
        &mut self,
        statement: &Statement,
        types: &[u32],
    ) -> Result<Description, Refusal> {
        admission::check_key(&self.context)?;
        let is_local = matches!(statement.kind, Kind::Variable(_) | Kind::Refused { .. });
        if is_local || is_control(statement) {
            return Ok(Description::default());
        }
        let work = self.context.work()?;
        let text = &statement.text;
        if let Some(hold) = &mut self.keep.hold {
            return Ok(hold.lease.describe(text, types).await?);
        }
        let (mut lease, _, _) = write::primary(&self.context, &work).await?;
        let described = lease.describe(text, types).await;
        let is_clean = matches!(&described, Ok(_) | Err(endpoint::Error::Server { .. }));
        if is_clean {
            lease.release();
        }
        Ok(described?)
    }

    fn canceller(&self) -> Arc<dyn Cancel> {
        Arc::clone(&self.context.slot) as Arc<dyn Cancel>
    }

    fn ended(&self) -> Ended {
        self.context.entry.ended()
    }

    async fn close(mut self: Box<Self>) {
        let work = self.context.work().ok();
        self.keep.close(work.as_ref());
        let node = &self.context.node;
        node.sessions.remove(self.context.entry.id);
        let closed = event(timeline::Kind::Session, "closed")
            .with("session", self.context.entry.id)
            .with("account", &self.context.entry.account);
        node.ring.record(closed);
    }
}

/// Records refusals that an operator would look for.
fn note(context: &Context, refusal: &Refusal) {
    let is_notable = refusal.not_run || refusal.fatal || refusal.code.starts_with("08");
    if !is_notable {
        return;
    }
    let noted = event(timeline::Kind::Statement, "refused")
        .with("session", context.entry.id)
        .with("account", &context.entry.account)
        .with("group", &context.group)
        .with("code", &refusal.code)
        .with("not_run", refusal.not_run);
    context.node.ring.record(noted);
}

fn simple(text: &Arc<str>) -> Query {
    Query::Simple {
        text: Arc::clone(text),
    }
}

/// Returns the token among the startup parameters, also inside `options`.
fn token_of(hello: &Hello) -> Option<String> {
    if let Some(text) = hello.parameters.get(variable::TOKEN) {
        return Some(text.clone());
    }
    let options = hello.parameters.get("options")?;
    let prefix = format!("{}=", variable::TOKEN);
    let (_, rest) = options.split_once(&prefix)?;
    let text = rest.split_whitespace().next()?;
    Some(text.to_owned())
}
