//! The loop of requests and answers of one session.

use std::sync::Arc;

use endpoint::Description;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::response::EmptyQueryResponse;
use pgwire::messages::startup::Authentication;
use sql::Statement;
use timeline::Kind;
use timeline::event;

use crate::Ended;
use crate::Error;
use crate::Refusal;
use crate::Request;
use crate::Response;
use crate::Session;
use crate::Transaction;
use crate::client;
use crate::ending::due;
use crate::guard::Guard;
use crate::prepared::Store;
use crate::reply;
use crate::shared::Shared;
use crate::watch::Halt;
use crate::watch::Watch;
use crate::wire::Wire;

/// Parameters that every client is told after its login.
const PARAMETERS: [(&str, &str); 7] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// An open session and its client.
pub struct Connection {
    pub(crate) shared: Arc<Shared>,
    pub(crate) wire: Wire,
    pub(crate) session: Box<dyn Session>,
    pub(crate) guard: Guard,
    pub(crate) store: Store,
    /// The account's name, for events.
    account: Arc<str>,
    /// Announces the end of this session.
    pub(crate) ended: Ended,
    /// Announces the end of all sessions.
    pub(crate) stop: Ended,
}

impl Connection {
    /// Returns a connection that has not greeted its client.
    pub fn new(
        shared: Arc<Shared>,
        wire: Wire,
        session: Box<dyn Session>,
        account: Arc<str>,
    ) -> Self {
        Self {
            wire,
            guard: Guard::default(),
            store: Store::new(shared.options.limits),
            account,
            ended: session.ended(),
            stop: shared.stop.subscribe(),
            session,
            shared,
        }
    }

    /// Serves the client until one side ends the connection; then closes the session.
    pub async fn run(mut self, long_key: bool) {
        let peer = self.wire.peer();
        let key = self
            .shared
            .cancels
            .register(self.session.canceller(), long_key);
        let pid = key.pid;
        self.record("begin", "");
        let limit = self.shared.options.limits.message_bytes;
        self.wire.codec().raise_limit(limit);
        let halt = match self.greet(PgWireBackendMessage::BackendKeyData(key)).await {
            Ok(()) => self.serve().await,
            Err(error) => Halt::Failed(error),
        };
        self.shared.cancels.remove(pid);
        self.record("end", &reason(&halt));
        if let Halt::Failed(error) = &halt
            && error.is_input()
        {
            client::record(&self.shared, error, peer);
        }
        // The session goes first, so that its connections are not held by a slow client.
        self.session.close().await;
        let Some(refusal) = farewell(halt) else {
            return;
        };
        if self.wire.feed(reply::error(&refusal)).await.is_ok() {
            self.wire.close().await;
        }
    }

    async fn greet(&mut self, key: PgWireBackendMessage) -> Result<(), Error> {
        self.wire
            .feed(PgWireBackendMessage::Authentication(Authentication::Ok))
            .await?;
        for (name, value) in PARAMETERS {
            self.wire.feed(reply::parameter(name, value)).await?;
        }
        self.wire.feed(key).await?;
        self.wire.send(reply::ready(Transaction::Idle)).await
    }

    async fn serve(&mut self) -> Halt {
        loop {
            let message = match self.next().await {
                Ok(message) => message,
                Err(halt) => return halt,
            };
            if let Err(halt) = self.handle(message).await {
                return halt;
            }
        }
    }

    /// Returns the next message, or why there will be none.
    ///
    /// A planned stop lets a request go first that has arrived; the session's own end does not.
    async fn next(&mut self) -> Result<PgWireFrontendMessage, Halt> {
        let transaction = self.session.transaction();
        let may_end = !self.wire.has_ahead() && !self.store.in_batch;
        let ending = tokio::select! {
            biased;
            ending = due(&mut self.ended, may_end, transaction) => ending,
            message = self.wire.next() => return Ok(message?),
            ending = due(&mut self.stop, may_end, transaction) => ending,
        };
        // A request that is on its way has not been read, and will not be.
        let refusal = Refusal {
            fatal: true,
            not_run: true,
            ..ending.refusal
        };
        Err(Halt::Refused(refusal))
    }

    async fn handle(&mut self, message: PgWireFrontendMessage) -> Result<(), Halt> {
        match message {
            PgWireFrontendMessage::Query(query) => {
                self.store.forget_unnamed();
                self.simple(&query.query).await
            }
            PgWireFrontendMessage::Terminate(_) => Err(Halt::Terminated),
            // What is left of a refused COPY.
            PgWireFrontendMessage::CopyData(_)
            | PgWireFrontendMessage::CopyDone(_)
            | PgWireFrontendMessage::CopyFail(_) => Ok(()),
            extended if extended.is_extended_query() => self.extended(extended).await,
            _ => Err(Halt::Failed(Error::Malformed {
                step: "serve",
                peer: self.wire.peer(),
                why: "a message that does not belong here".to_owned(),
            })),
        }
    }

    /// Answers a simple query.
    async fn simple(&mut self, text: &str) -> Result<(), Halt> {
        if let Err(halt) = self.run_simple(text).await {
            self.refuse(halt).await?;
        }
        self.ready().await
    }

    async fn run_simple(&mut self, text: &str) -> Result<(), Halt> {
        let statements = self.guard.admit(text, self.session.transaction())?;
        if statements.is_empty() {
            let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
            return Ok(self.wire.feed(empty).await?);
        }
        // The answer to a COMMIT is sent even if a statement after it fails.
        let together = |a: &Statement, b: &Statement| !controls(&a.kind) && !controls(&b.kind);
        for run in statements.chunk_by(together) {
            let statements = run.to_vec();
            let response = self.execute(Request::Simple { statements }).await?;
            self.answer_simple(&response).await?;
        }
        Ok(())
    }

    async fn answer_simple(&mut self, response: &Response) -> Result<(), Halt> {
        for reply in &response.answer.replies {
            if let Some(columns) = &reply.columns {
                self.wire.feed(reply::description(columns, |_| 0)).await?;
            }
            for row in &reply.rows {
                self.wire.feed(reply::row(row)).await?;
            }
            self.wire.feed(reply::complete(reply)).await?;
        }
        self.tell_parameters(response).await
    }

    /// Tells the client the parameters that changed.
    pub(crate) async fn tell_parameters(&mut self, response: &Response) -> Result<(), Halt> {
        for (name, value) in &response.parameters {
            self.wire.feed(reply::parameter(name, value)).await?;
        }
        Ok(())
    }

    /// Tells the client an error, after which its transaction counts as failed.
    ///
    /// What ends the connection is given back.
    pub(crate) async fn refuse(&mut self, halt: Halt) -> Result<(), Halt> {
        let refusal = match halt {
            Halt::Refused(refusal) if !refusal.fatal => refusal,
            halt => return Err(halt),
        };
        self.guard.fail(self.session.transaction());
        Ok(self.wire.feed(reply::error(&refusal)).await?)
    }

    /// Asks the client for its next request.
    pub(crate) async fn ready(&mut self) -> Result<(), Halt> {
        let state = self.guard.visible(self.session.transaction());
        Ok(self.wire.send(reply::ready(state)).await?)
    }

    /// Runs a request; the statement is cancelled if the client vanishes meanwhile.
    pub(crate) async fn execute(&mut self, request: Request) -> Result<Response, Halt> {
        let canceller = self.session.canceller();
        let watch = Watch {
            wire: &mut self.wire,
            ended: &mut self.ended,
            stop: &mut self.stop,
        };
        let result = watch.until(self.session.run(request), canceller).await?;
        Ok(result?)
    }

    /// Asks how a statement would look.
    pub(crate) async fn describe(
        &mut self,
        statement: &Statement,
        types: &[u32],
    ) -> Result<Description, Halt> {
        let canceller = self.session.canceller();
        let watch = Watch {
            wire: &mut self.wire,
            ended: &mut self.ended,
            stop: &mut self.stop,
        };
        let work = self.session.describe(statement, types);
        Ok(watch.until(work, canceller).await??)
    }

    fn record(&self, what: &str, why: &str) {
        let mut happened = event(Kind::Session, what)
            .with("account", &self.account)
            .with("peer", self.wire.peer());
        if !why.is_empty() {
            happened = happened.with("why", why);
        }
        self.shared.options.ring.record(happened);
    }
}

/// Returns true for a statement that begins or ends a transaction.
fn controls(kind: &sql::Kind) -> bool {
    matches!(
        kind,
        sql::Kind::Begin { .. } | sql::Kind::Commit | sql::Kind::Rollback
    )
}

fn reason(halt: &Halt) -> String {
    match halt {
        Halt::Terminated => "terminated".to_owned(),
        Halt::Refused(refusal) => format!("{} {}", refusal.code, refusal.message),
        Halt::Failed(error) => error.to_string(),
    }
}

/// Returns what the client is told last.
fn farewell(halt: Halt) -> Option<Refusal> {
    match halt {
        Halt::Refused(refusal) => Some(refusal),
        Halt::Failed(error) if error.is_input() => Some(Refusal::fatal("08P01", error.to_string())),
        Halt::Terminated | Halt::Failed(_) => None,
    }
}
