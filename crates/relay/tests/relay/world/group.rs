//! A group of three servers with synchronous replication, in memory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::time::Duration;

use async_trait::async_trait;
use endpoint::Position;
use endpoint::Role;
use relay::Error;
use relay::border::Connection;
use relay::border::Connector;
use relay::border::Order;
use relay::border::Promoter;
use relay::border::Status;
use relay::border::Target;
use relay::border::Verdict;
use relay::message::Code;
use relay::message::Failure;
use relay::message::Reply;
use relay::message::Request;
use relay::message::Shape;
use relay::message::State;
use relay::message::Statement;

/// The group's name.
pub const GROUP: &str = "huvo";
/// How long a promotion takes.
const PROMOTION: Duration = Duration::from_millis(300);
/// How long a statement takes.
const WORK: Duration = Duration::from_millis(5);

/// A statement that a server ran for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    pub server: Arc<str>,
    pub account: Arc<str>,
    pub id: Arc<str>,
    pub values: BTreeMap<Arc<str>, Arc<str>>,
    /// What a prepared statement did.
    pub shape: Option<Shape>,
}

#[derive(Clone, Debug, Default)]
struct Server {
    log: Vec<(Position, String, String)>,
    /// Records that reads see.
    applied: usize,
    paused: u64,
    /// Receives nothing, as if it were cut off from the primary.
    is_deaf: bool,
    /// Applies nothing that it receives.
    is_lagging: bool,
    is_down: bool,
    /// Takes requests and answers none.
    is_silent: bool,
    connections: usize,
}

impl Server {
    fn received(&self) -> Position {
        let first = Position { term: 1, offset: 0 };
        self.log.last().map_or(first, |record| record.0)
    }

    fn applied(&self) -> Position {
        let first = Position { term: 1, offset: 0 };
        let last = self.applied.checked_sub(1);
        last.map_or(first, |last| self.log[last].0)
    }

    fn value(&self, item: &str) -> String {
        let applied = &self.log[..self.applied];
        let found = applied.iter().rev().find(|(_, key, _)| key == item);
        found.map_or_else(|| "none".to_owned(), |(_, _, data)| data.clone())
    }
}

#[derive(Default)]
struct Inner {
    servers: BTreeMap<Arc<str>, Server>,
    leader: Option<Arc<str>>,
    term: u64,
    /// The highest fencing token of an order.
    token: u64,
    orders: Vec<Order>,
    /// Records that were acknowledged.
    acknowledged: Vec<(Position, String, String)>,
    /// Acknowledged records that a new leader did not have.
    lost: usize,
    runs: Vec<Run>,
    /// Loses the answer to the next statement of a caller after it ran.
    loses_answer: bool,
}

/// A group of three servers.
pub struct Group {
    inner: Mutex<Inner>,
    /// For what happens later.
    this: Weak<Self>,
}

impl Group {
    /// Opens a group that `a` leads.
    pub fn open() -> Arc<Self> {
        let group = Arc::new_cyclic(|this| Self {
            inner: Mutex::default(),
            this: Weak::clone(this),
        });
        {
            let mut inner = group.lock();
            inner.term = 1;
            inner.leader = Some(Arc::from("a"));
            for name in ["a", "b", "c"] {
                inner.servers.insert(Arc::from(name), Server::default());
            }
        }
        group
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no test panics with the lock")
    }

    fn change(&self, name: &str, change: impl FnOnce(&mut Server)) {
        change(self.lock().servers.get_mut(name).expect("a server"));
    }

    /// Takes a server down, which breaks its connections.
    pub fn crash(&self, name: &str) {
        self.change(name, |server| server.is_down = true);
        let mut inner = self.lock();
        if inner.leader.as_deref() == Some(name) {
            inner.leader = None;
        }
    }

    /// Makes a server take requests without answering.
    pub fn silence(&self, name: &str, is_silent: bool) {
        self.change(name, |server| server.is_silent = is_silent);
    }

    /// Cuts a replica off from the primary.
    pub fn deafen(&self, name: &str, is_deaf: bool) {
        self.change(name, |server| server.is_deaf = is_deaf);
    }

    /// Stops a replica from applying what it receives.
    pub fn delay(&self, name: &str, is_lagging: bool) {
        self.change(name, |server| server.is_lagging = is_lagging);
    }

    /// Loses the answer to the next statement of a caller, after it ran.
    pub fn lose_answer(&self) {
        self.lock().loses_answer = true;
    }

    /// Returns the leader.
    pub fn leader(&self) -> Option<Arc<str>> {
        self.lock().leader.clone()
    }

    /// Returns the statements that ran for callers.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the orders that came.
    pub fn orders(&self) -> Vec<Order> {
        self.lock().orders.clone()
    }

    /// Returns how often an item was written in the leader's log.
    pub fn writes(&self, item: &str) -> usize {
        let inner = self.lock();
        let leader = inner.leader.clone().expect("a leader");
        let log = &inner.servers[&leader].log;
        log.iter().filter(|(_, key, _)| key == item).count()
    }

    /// Returns how many acknowledged records a new leader did not have.
    pub fn lost(&self) -> usize {
        self.lock().lost
    }

    /// Returns which servers are paused.
    pub fn paused(&self) -> Vec<Arc<str>> {
        let inner = self.lock();
        let paused = inner.servers.iter().filter(|(_, server)| server.paused > 0);
        paused.map(|(name, _)| Arc::clone(name)).collect()
    }
}

impl Inner {
    /// Appends records at the leader; `false` if no replica received them.
    fn commit(&mut self, writes: &[(String, String)]) -> bool {
        let Some(leader) = self.leader.clone() else {
            return false;
        };
        let term = self.term;
        let head = self.servers.get_mut(&leader).expect("a server");
        for (item, data) in writes {
            let offset = head.received().offset + 1;
            let record = (Position { term, offset }, item.clone(), data.clone());
            head.log.push(record);
        }
        head.applied = head.log.len();
        let log = head.log.clone();
        let committed = log[log.len() - writes.len()..].to_vec();
        let mut holders = 0;
        for (name, server) in &mut self.servers {
            let receives = !server.is_down && !server.is_deaf && server.paused == 0;
            if *name == leader || !receives {
                continue;
            }
            server.log = log.clone();
            holders += 1;
            if !server.is_lagging {
                server.applied = server.log.len();
            }
        }
        if holders > 0 {
            self.acknowledged.extend(committed);
        }
        holders > 0
    }

    fn status(&self, name: &Arc<str>) -> String {
        let server = &self.servers[name];
        let role = match self.leader.as_ref() == Some(name) {
            true => "primary",
            false => "replica",
        };
        let received = server.received();
        let (term, offset) = (received.term, received.offset);
        format!("{role} {} {term}.{offset} {}", self.term, server.paused)
    }
}

/// One connection to one server.
struct Link {
    group: Arc<Group>,
    server: Arc<str>,
    account: Arc<str>,
    values: BTreeMap<Arc<str>, Arc<str>>,
    prepared: BTreeMap<Arc<str>, Shape>,
    state: State,
    /// The open transaction may write.
    may_write: bool,
    writes: Vec<(String, String)>,
    replies: std::collections::VecDeque<Option<Reply>>,
}

impl Link {
    fn broken(&self) -> Error {
        Error::Broken {
            step: "run",
            peer: self.server.to_string(),
            why: "down".to_owned(),
        }
    }

    fn run(&mut self, request: &Request) -> Option<Reply> {
        let group = Arc::clone(&self.group);
        let mut inner = group.lock();
        let is_leader = inner.leader.as_ref() == Some(&self.server);
        let mut rows = Vec::new();
        let mut outcome: Result<(), Code> = Ok(());
        let shape = match &request.statement {
            Statement::Execute { name, .. } => self.prepared.get(name).cloned(),
            _ => None,
        };
        let server = &inner.servers[&self.server];
        if request.floor.is_some_and(|floor| server.applied() < floor) {
            outcome = Err(Code::Behind);
        } else if self.state == State::Open && self.may_write && !is_leader {
            outcome = Err(Code::ReadOnly);
        }
        if outcome.is_ok() {
            outcome = self.execute(&mut inner, request, shape.as_ref(), is_leader, &mut rows);
        }
        if let Some(id) = &request.id {
            inner.runs.push(Run {
                server: Arc::clone(&self.server),
                account: Arc::clone(&self.account),
                id: Arc::clone(id),
                values: self.values.clone(),
                shape,
            });
            if std::mem::take(&mut inner.loses_answer) {
                return None;
            }
        }
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
            position: Some(inner.servers[&self.server].applied()),
        })
    }

    fn execute(
        &mut self,
        inner: &mut Inner,
        request: &Request,
        shape: Option<&Shape>,
        is_leader: bool,
        rows: &mut Vec<Arc<str>>,
    ) -> Result<(), Code> {
        let (is_write, arguments) = match &request.statement {
            Statement::Read { item } => (false, item),
            Statement::Write { arguments } => (true, arguments),
            Statement::Execute { arguments, .. } => {
                let shape = shape.ok_or(Code::UnknownStatement)?;
                (shape.access == relay::message::Access::Write, arguments)
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
        if writes.is_empty() || inner.commit(&writes) {
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
        let server = inner.servers.get_mut(&self.server).expect("a server");
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
                self.values.insert(Arc::clone(name), Arc::clone(value));
            }
            Statement::Prepare { name, shape } => {
                self.prepared.insert(Arc::clone(name), shape.clone());
            }
            Statement::Reset => {
                self.values.clear();
                self.prepared.clear();
            }
            Statement::Pause { term } => server.paused = *term,
            Statement::Resume => {
                server.paused = 0;
                server.applied = server.log.len();
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
            if !self.group.lock().servers[&self.server].is_silent {
                let reply = self.run(request);
                self.replies.push_back(reply);
            }
        }
        Ok(())
    }

    async fn receive(&mut self) -> Result<Reply, Error> {
        tokio::time::sleep(WORK).await;
        if self.group.lock().servers[&self.server].is_down {
            return Err(self.broken());
        }
        match self.replies.pop_front() {
            Some(Some(reply)) => Ok(reply),
            // The server is silent, or its answer was lost.
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
            paused: fields[3].parse().ok()?,
        })
    }

    fn is_open(&mut self) -> bool {
        !self.group.lock().servers[&self.server].is_down
    }
}

/// Opens connections to the servers of a group.
pub struct Links(pub Arc<Group>);

#[async_trait]
impl Connector for Links {
    async fn open(&self, target: &Target) -> Result<Box<dyn Connection>, Error> {
        tokio::time::sleep(WORK).await;
        let server = Arc::clone(&target.server);
        let (is_down, is_silent) = {
            let inner = self.0.lock();
            let state = &inner.servers[&server];
            (state.is_down, state.is_silent)
        };
        if is_down {
            return Err(Error::Absent {
                step: "connect",
                peer: server.to_string(),
            });
        }
        if is_silent {
            return std::future::pending().await;
        }
        self.0.change(&server, |server| server.connections += 1);
        Ok(Box::new(Link {
            group: Arc::clone(&self.0),
            server,
            account: Arc::clone(&target.account),
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            state: State::Idle,
            may_write: false,
            writes: Vec::new(),
            replies: std::collections::VecDeque::new(),
        }))
    }
}

#[async_trait]
impl Promoter for Group {
    async fn promote(&self, order: &Order) -> Result<Verdict, Error> {
        {
            let mut inner = self.lock();
            inner.orders.push(order.clone());
            if order.token < inner.token || inner.servers[&order.server].is_down {
                return Ok(Verdict::Rejected);
            }
            inner.token = order.token;
        }
        // The order is accepted now and carried out a little later, also for a server that led
        // when the order came and does not any more.
        let group = self.this.upgrade().expect("the group is in use");
        let server = Arc::clone(&order.server);
        tokio::spawn(async move {
            tokio::time::sleep(PROMOTION).await;
            group.lead(&server);
        });
        Ok(Verdict::Done)
    }
}

impl Group {
    /// Makes a server the leader with what it has received.
    fn lead(&self, chosen: &Arc<str>) {
        let mut inner = self.lock();
        if inner.leader.as_ref() == Some(chosen) {
            return;
        }
        inner.term += 1;
        inner.leader = Some(Arc::clone(chosen));
        let head = inner.servers.get_mut(chosen).expect("a server");
        head.paused = 0;
        head.applied = head.log.len();
        let log = head.log.clone();
        let missing = inner.acknowledged.iter();
        let missing = missing.filter(|record| !log.contains(record)).count();
        inner.lost += missing;
        for server in inner.servers.values_mut() {
            let common = server.log.len().min(log.len());
            server.log.truncate(common);
            server.applied = server.applied.min(common);
        }
    }
}
