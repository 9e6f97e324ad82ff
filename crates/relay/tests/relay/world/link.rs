//! Connections to the servers of the in-memory group.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use endpoint::Position;
use endpoint::Role;
use relay::Error;
use relay::external::Connection;
use relay::external::Connector;
use relay::external::Status;
use relay::external::Target;
use relay::message::Code;
use relay::message::Definition;
use relay::message::Failure;
use relay::message::Reply;
use relay::message::Request;
use relay::message::State;
use relay::message::Statement;
use tokio::time::Instant;

use super::Stall;
use super::group::Group;
use super::group::Inner;
use super::group::Run;

/// The duration of a statement.
const STATEMENT_TIME: Duration = Duration::from_millis(5);

/// How often a connection checks whether a stall has ended.
const STALL_CHECK_PERIOD: Duration = Duration::from_millis(5);

/// Returns whether only a primary runs a request.
fn is_of_primary(request: &Request) -> bool {
    matches!(
        request.statement,
        Statement::Begin {
            is_read_only: false
        } | Statement::Write { .. }
            | Statement::Commit
    )
}

/// One connection to one server.
struct Link {
    group: Arc<Group>,
    instance: Arc<str>,
    server: Arc<str>,
    account: Arc<str>,
    values: BTreeMap<Arc<str>, Arc<str>>,
    prepared: BTreeMap<Arc<str>, Definition>,
    state: State,
    /// Whether the open transaction may write.
    may_write: bool,
    writes: Vec<(String, String)>,
    /// Requests that have not reached the server.
    waiting: VecDeque<Request>,
    replies: VecDeque<Option<Reply>>,
    /// For each reply, whether only a primary gives it.
    are_of_primary: VecDeque<bool>,
}

impl Link {
    fn broken(&self) -> Error {
        Error::Broken {
            step: "run",
            peer: self.server.to_string(),
            why: "down".to_owned(),
        }
    }

    /// Returns whether the server answers nothing on this connection.
    fn is_silent(&self) -> bool {
        let inner = self.group.lock();
        inner.servers[&self.server].is_silent || inner.is_cut(&self.instance, &self.server)
    }

    fn is_stalled(&self, stalls: &[Stall]) -> bool {
        let stalled = self.group.stalled(&self.instance, &self.server);
        stalled.is_some_and(|stalled| stalls.contains(&stalled))
    }

    /// Takes a request that has reached the server.
    fn accept(&mut self, request: &Request) {
        if self.is_silent() {
            return;
        }
        let reply = self.run(request);
        self.replies.push_back(reply);
        self.are_of_primary.push_back(is_of_primary(request));
        if request.id.is_some() {
            self.group.depose();
        }
    }

    fn run(&mut self, request: &Request) -> Option<Reply> {
        let group = Arc::clone(&self.group);
        let mut inner = group.lock();
        let is_leader = inner.leads(&self.server);
        let mut rows = Vec::new();
        let mut outcome: Result<(), Code> = Ok(());
        let definition = match &request.statement {
            Statement::Execute { name, .. } => self.prepared.get(name).cloned(),
            _ => None,
        };
        if request.statement == Statement::Rollback && self.state != State::Idle && !self.may_write
        {
            inner.rollbacks.push(Instant::now());
        }
        let server = &inner.servers[&self.server];
        if request.floor.is_some_and(|floor| server.applied() < floor) {
            outcome = Err(Code::Behind);
        } else if self.state == State::Open
            && self.may_write
            && !is_leader
            && !(request.statement == Statement::Commit && self.writes.is_empty())
        {
            outcome = Err(Code::ReadOnly);
        }
        if outcome.is_ok() {
            outcome = self.execute(
                &mut inner,
                request,
                definition.as_ref(),
                is_leader,
                &mut rows,
            );
        }
        if request.id.is_none() && matches!(request.statement, Statement::Begin { .. }) {
            inner.probers.insert(Arc::clone(&self.instance));
        }
        if request.id.is_some() && is_leader && outcome.is_ok() {
            inner.overtake();
        }
        if let Some(id) = &request.id {
            inner.runs.push(Run {
                instance: Arc::clone(&self.instance),
                server: Arc::clone(&self.server),
                account: Arc::clone(&self.account),
                id: Arc::clone(id),
                values: self.values.clone(),
                definition,
                at: Instant::now(),
            });
            if std::mem::take(&mut inner.loses_answer) {
                return None;
            }
        }
        let omits_position = request.id.is_some() && std::mem::take(&mut inner.omits_position);
        let position = (!omits_position).then(|| inner.servers[&self.server].applied());
        if outcome.is_err() && self.state == State::Open {
            self.state = State::Failed;
        }
        let text = &self.server;
        Some(Reply {
            rows,
            outcome: match outcome {
                Ok(()) => Ok(Some(Arc::from(format!("signed-{text}")))),
                Err(code) => Err(Failure::new(code, text)),
            },
            state: self.state,
            position,
        })
    }

    fn execute(
        &mut self,
        inner: &mut Inner,
        request: &Request,
        definition: Option<&Definition>,
        is_leader: bool,
        rows: &mut Vec<Arc<str>>,
    ) -> Result<(), Code> {
        let (is_write, arguments) = match &request.statement {
            Statement::Read { item } => (false, item),
            Statement::Write { arguments } => (true, arguments),
            Statement::Execute { arguments, .. } => {
                let definition = definition.ok_or(Code::UnknownStatement)?;
                (
                    definition.access == relay::message::Access::Write,
                    arguments,
                )
            }
            _ => return self.control(inner, request, is_leader, rows),
        };
        if !is_write {
            rows.push(Arc::from(inner.servers[&self.server].value(arguments)));
            return Ok(());
        }
        if !is_leader {
            return Err(Code::ReadOnly);
        }
        let (item, data) = arguments.split_once(' ').unwrap_or((arguments, ""));
        self.writes.push((item.to_owned(), data.to_owned()));
        if self.state == State::Idle {
            return self.end(inner);
        }
        Ok(())
    }

    fn end(&mut self, inner: &mut Inner) -> Result<(), Code> {
        self.state = State::Idle;
        let writes = std::mem::take(&mut self.writes);
        let is_deposed = inner.servers[&self.server].is_deposed;
        if writes.is_empty() || (!is_deposed && inner.commit(&writes)) {
            return Ok(());
        }
        Err(Code::Timeout)
    }

    fn control(
        &mut self,
        inner: &mut Inner,
        request: &Request,
        is_leader: bool,
        rows: &mut Vec<Arc<str>>,
    ) -> Result<(), Code> {
        match &request.statement {
            Statement::Begin { is_read_only } => {
                if !is_read_only && !is_leader {
                    return Err(Code::ReadOnly);
                }
                self.state = State::Open;
                self.may_write = !is_read_only;
            }
            Statement::Commit => return self.end(inner),
            Statement::Rollback => {
                self.state = State::Idle;
                self.writes.clear();
            }
            Statement::Set { name, value } => {
                if inner.sets_left == Some(0) {
                    inner.sets_left = None;
                    return Err(Code::Busy);
                }
                inner.sets_left = inner.sets_left.map(|left| left - 1);
                self.values.insert(Arc::clone(name), Arc::clone(value));
            }
            Statement::Prepare { name, definition } => {
                self.prepared.insert(Arc::clone(name), definition.clone());
            }
            Statement::Reset => {
                self.values.clear();
                self.prepared.clear();
            }
            // Only a replica is paused, and only with a term above the newest.
            Statement::Pause { term } if !is_leader && *term > inner.term => {
                inner.server(&self.server).paused = *term;
            }
            Statement::Resume => {
                let server = inner.server(&self.server);
                server.paused = 0;
                server.applied = server.log.len();
            }
            Statement::Demote { .. } if inner.servers[&self.server].is_deposed => {
                inner.server(&self.server).is_deposed = false;
            }
            Statement::Demote { .. } if is_leader => inner.leader = None,
            _ => {}
        }
        let is_order = matches!(
            request.statement,
            Statement::Status
                | Statement::Pause { .. }
                | Statement::Resume
                | Statement::Demote { .. }
        );
        if is_order {
            rows.push(Arc::from(inner.status(&self.server)));
        }
        Ok(())
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        let name = Arc::clone(&self.server);
        self.group.change(&name, |server| server.connections -= 1);
    }
}

#[async_trait]
impl Connection for Link {
    async fn send(&mut self, requests: &[Request]) -> Result<(), Error> {
        for request in requests {
            if self.group.lock().servers[&self.server].is_down {
                return Err(self.broken());
            }
            let is_demotion = matches!(request.statement, Statement::Demote { .. });
            if is_demotion && self.is_stalled(&[Stall::Requests, Stall::Replies]) {
                continue;
            }
            let is_stalled = is_of_primary(request) && self.is_stalled(&[Stall::Requests]);
            if is_stalled || !self.waiting.is_empty() {
                self.waiting.push_back(request.clone());
            } else {
                self.accept(request);
            }
        }
        Ok(())
    }

    async fn receive(&mut self) -> Result<Reply, Error> {
        tokio::time::sleep(STATEMENT_TIME).await;
        while !self.waiting.is_empty() && self.is_stalled(&[Stall::Requests]) {
            tokio::time::sleep(STALL_CHECK_PERIOD).await;
        }
        if self.group.lock().servers[&self.server].is_down {
            return Err(self.broken());
        }
        while let Some(request) = self.waiting.pop_front() {
            self.accept(&request);
        }
        if self.are_of_primary.pop_front() == Some(true) {
            while self.is_stalled(&[Stall::Requests, Stall::Replies]) {
                tokio::time::sleep(STALL_CHECK_PERIOD).await;
            }
            let delay = self.group.lock().delays.get(&self.instance).copied();
            tokio::time::sleep(delay.unwrap_or_default()).await;
        }
        if self.group.lock().servers[&self.server].is_down {
            return Err(self.broken());
        }
        match self.replies.pop_front() {
            Some(Some(reply)) => Ok(reply),
            // The server is silent or its reply was lost.
            _ => std::future::pending().await,
        }
    }

    fn status(&self, reply: &Reply) -> Option<Status> {
        let row = reply.rows.first()?;
        let fields: Vec<&str> = row.split(' ').collect();
        let (term, offset) = fields[2].split_once('.')?;
        Some(Status {
            role: match fields[0] {
                "primary" => Role::Primary,
                _ => Role::Replica,
            },
            term: fields[1].parse().ok()?,
            received: Position {
                term: term.parse().ok()?,
                offset: offset.parse().ok()?,
            },
            paused_term: fields[3].parse().ok()?,
        })
    }

    fn is_open(&mut self) -> bool {
        !self.group.lock().servers[&self.server].is_down
    }
}

/// Opens connections to the servers of a group for one instance.
pub struct Dialer {
    pub group: Arc<Group>,
    pub instance: Arc<str>,
}

#[async_trait]
impl Connector for Dialer {
    async fn open(&self, target: &Target) -> Result<Box<dyn Connection>, Error> {
        tokio::time::sleep(STATEMENT_TIME).await;
        let server = Arc::clone(&target.server);
        let (is_down, is_silent) = {
            let inner = self.group.lock();
            let state = &inner.servers[&server];
            let is_cut = inner.is_cut(&self.instance, &server);
            (state.is_down, state.is_silent || is_cut)
        };
        if is_down {
            return Err(Error::NotListening {
                step: "connect",
                peer: server.to_string(),
            });
        }
        if is_silent {
            return std::future::pending().await;
        }
        self.group.change(&server, |server| server.connections += 1);
        Ok(Box::new(Link {
            group: Arc::clone(&self.group),
            instance: Arc::clone(&self.instance),
            server,
            account: Arc::clone(&target.account),
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            state: State::Idle,
            may_write: false,
            writes: Vec::new(),
            waiting: VecDeque::new(),
            replies: VecDeque::new(),
            are_of_primary: VecDeque::new(),
        }))
    }
}
