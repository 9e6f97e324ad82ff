//! A database group of one primary and two replicas.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::json::quote;
use crate::record::Record;
use crate::store::Store;

/// How often a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// An entry goes after three heartbeats that are missing.
const EXPIRY: Duration = Duration::from_millis(3_600);
/// How long replication takes.
const REPLICATION: Duration = Duration::from_millis(2);
/// How long a read, write or commit takes.
const WORK: Duration = Duration::from_millis(4);

/// A commit in a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    pub term: u64,
    pub number: u64,
    /// Items, data and ids of the writes.
    pub writes: Vec<(String, String, String)>,
}

/// A server.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    zone: &'static str,
    pub is_up: bool,
    pub is_primary: bool,
    pub is_draining: bool,
    /// Whether it receives nothing.
    pub is_deaf: bool,
    /// Whether it doesn't reach the store.
    pub is_cut: bool,
    pub log: Vec<Commit>,
    /// The newest term that it knows.
    term: u64,
    paused_term: u64,
    born: u128,
    sequence: u64,
    beaten: Instant,
    /// The entry in the store, without what each heartbeat changes.
    entry: String,
    /// Changes with each start and stop.
    generation: u64,
    connections: Vec<TcpStream>,
}

impl Server {
    fn position(&self) -> (u64, u64) {
        self.log
            .last()
            .map_or((0, 0), |last| (last.term, last.number))
    }

    fn close_connections(&mut self) {
        self.generation += 1;
        for stream in self.connections.drain(..) {
            // The other end may have closed it.
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }
}

/// The servers of a group.
pub struct State {
    pub servers: Vec<Server>,
    pub term: u64,
    /// The servers that were promoted, with the ids of the writes in their logs at that time.
    pub promotions: Vec<(String, Vec<String>)>,
    /// Statements by server: time, server, id and text.
    pub statements: Vec<(Instant, String, String, String)>,
}

/// A group.
pub struct Group {
    pub name: String,
    state: Mutex<State>,
    replicated: Condvar,
    store: Arc<Store>,
    record: Record,
}

impl Group {
    /// Starts a group with one server in each zone; the first is the primary.
    pub fn start(
        name: &str,
        zones: &[&'static str],
        store: &Arc<Store>,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for (slot, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            servers.push(Server {
                id: format!("i-{name}{slot}"),
                address: listener.local_addr()?,
                zone,
                is_up: true,
                is_primary: slot == 0,
                is_draining: false,
                is_deaf: false,
                is_cut: false,
                log: Vec::new(),
                term: 1,
                paused_term: 0,
                born: unix_ms(),
                sequence: 0,
                beaten: Instant::now(),
                entry: String::new(),
                generation: 0,
                connections: Vec::new(),
            });
            listeners.push(listener);
        }
        let group = Arc::new(Self {
            name: name.to_owned(),
            state: Mutex::new(State {
                servers,
                term: 1,
                promotions: Vec::new(),
                statements: Vec::new(),
            }),
            replicated: Condvar::new(),
            store: Arc::clone(store),
            record: record.clone(),
        });
        for (slot, listener) in listeners.into_iter().enumerate() {
            let group = Arc::clone(&group);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = Arc::clone(&group);
                    thread::spawn(move || Session::serve(&group, slot, &stream));
                }
            });
        }
        for step in [Self::replicate, Self::beat] {
            let group = Arc::clone(&group);
            thread::spawn(move || {
                loop {
                    step(&group);
                    thread::sleep(REPLICATION);
                }
            });
        }
        Ok(group)
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Returns whether a server with this id runs.
    pub fn is_running(&self, id: &str) -> bool {
        let state = self.state();
        state
            .servers
            .iter()
            .any(|server| server.is_up && server.id == id)
    }

    /// Ends a server without a word.
    pub fn crash(&self, slot: usize) {
        let mut state = self.state();
        let server = &mut state.servers[slot];
        server.is_up = false;
        server.close_connections();
        self.record.line(&format!("server {} crashes", server.id));
    }

    /// Starts a server again, with its log or without anything.
    pub fn start_again(&self, slot: usize, keeps_log: bool) {
        let mut state = self.state();
        let term = state.term;
        let server = &mut state.servers[slot];
        server.is_up = true;
        server.close_connections();
        server.paused_term = 0;
        server.is_draining = false;
        server.born = unix_ms();
        server.sequence = 0;
        server.beaten = Instant::now() - HEARTBEAT;
        server.term = if keeps_log { term } else { 0 };
        if !keeps_log {
            server.log.clear();
        }
        let role = role(server);
        self.record.line(&format!(
            "server {} starts again as {role}, log of {} commits",
            server.id,
            server.log.len()
        ));
    }

    /// Lets a promotion take effect.
    pub fn lead(&self, id: &str) {
        let mut guard = self.state();
        let state = &mut *guard;
        let found = state
            .servers
            .iter()
            .position(|server| server.is_up && server.id == id);
        let Some(slot) = found.filter(|slot| !state.servers[*slot].is_primary) else {
            return;
        };
        state.term += 1;
        for (index, server) in state.servers.iter_mut().enumerate() {
            server.is_primary = index == slot;
            server.paused_term = 0;
            if server.is_up {
                server.term = state.term;
            }
        }
        let ids = ids(&state.servers[slot]);
        self.record.line(&format!(
            "server {id} leads term {}, its log: {ids:?}",
            state.term
        ));
        state.promotions.push((id.to_owned(), ids));
        self.replicated.notify_all();
    }

    /// Lets the replicas receive what they lack.
    fn replicate(&self) {
        let mut guard = self.state();
        let state = &mut *guard;
        let primary = state
            .servers
            .iter()
            .find(|server| server.is_primary && server.is_up);
        let Some(log) = primary.map(|primary| primary.log.clone()) else {
            return;
        };
        for server in &mut state.servers {
            let receives = server.is_up && !server.is_primary && !server.is_deaf;
            if receives && server.paused_term == 0 && server.log != log {
                server.log.clone_from(&log);
                server.term = state.term;
            }
        }
        self.replicated.notify_all();
    }

    /// Writes the entries that have changed, and removes those of silent servers.
    fn beat(&self) {
        let mut guard = self.state();
        for server in &mut guard.servers {
            if server.is_up && !server.is_cut {
                let state = if server.is_draining {
                    "draining"
                } else {
                    "ready"
                };
                let entry = format!(
                    "\"service\":{},\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                     \"slots\":3,\"state\":\"{state}\",\"warmup-left-ms\":0,\"db-role\":\"{}\",\
                     \"born\":{}",
                    quote(&self.name),
                    server.address,
                    server.zone,
                    role(server),
                    server.born
                );
                if entry != server.entry {
                    server.sequence += 1;
                    let content = format!("{{{entry},\"sequence\":{}}}", server.sequence);
                    self.store.put("servers", &server.id, &content);
                    self.record.line(&format!("entry {} {content}", server.id));
                    server.entry = entry;
                }
                server.beaten = Instant::now();
            } else if !server.entry.is_empty() && server.beaten.elapsed() > EXPIRY {
                self.store.delete("servers", &server.id);
                self.record.line(&format!("entry {} expires", server.id));
                server.entry.clear();
            }
        }
    }
}

/// Returns the ids of the writes in a server's log.
pub fn ids(server: &Server) -> Vec<String> {
    let writes = server.log.iter().flat_map(|commit| &commit.writes);
    writes.map(|(_, _, id)| id.clone()).collect()
}

fn role(server: &Server) -> &'static str {
    if server.is_primary {
        "primary"
    } else {
        "replica"
    }
}

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("the clock is past 1970").as_millis()
}

/// An open transaction.
#[derive(Default)]
struct Transaction {
    writes: Vec<(String, String, String)>,
    is_read_only: bool,
    has_failed: bool,
}

/// What a statement is answered with, besides its rows.
type Outcome = Result<String, &'static str>;

/// A connection to a server.
struct Session<'a> {
    group: &'a Group,
    slot: usize,
    generation: u64,
    transaction: Option<Transaction>,
    /// Access and shape of the prepared statements.
    prepared: BTreeMap<String, (String, String)>,
    rows: Vec<String>,
}

impl<'a> Session<'a> {
    fn serve(group: &'a Group, slot: usize, stream: &TcpStream) {
        let (Ok(reading), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let generation = {
            let mut state = group.state();
            let server = &mut state.servers[slot];
            if !server.is_up {
                return;
            }
            server.connections.push(kept);
            server.generation
        };
        let mut session = Self {
            group,
            slot,
            generation,
            transaction: None,
            prepared: BTreeMap::new(),
            rows: Vec::new(),
        };
        // A connection that ends or speaks wrongly is closed, which rolls back.
        let _ended = session.run(&mut BufReader::new(reading), stream);
        let _closed = stream.shutdown(Shutdown::Both);
    }

    fn run(&mut self, reader: &mut impl BufRead, mut writer: &TcpStream) -> Option<()> {
        let start = read_line(reader)?;
        let mut words = start.splitn(4, ' ').skip(1);
        let is_service = words.next()? == self.group.name;
        let id = words.nth(1).unwrap_or_default();
        let own = self.group.state().servers[self.slot].id.clone();
        if !is_service || (!id.is_empty() && id != own) {
            writer
                .write_all(format!("ERR WRONGNODE {own}\r\n").as_bytes())
                .ok()?;
            return None;
        }
        writer.write_all(self.ready().as_bytes()).ok()?;
        loop {
            let line = read_line(reader)?;
            let query = line.strip_prefix("QUERY ")?;
            let (id, text) = query.split_once(' ')?;
            self.rows.clear();
            let outcome = self.statement(id, text)?;
            let mut answer = String::new();
            for row in &self.rows {
                answer.push_str(&format!("ROW {row}\r\n"));
            }
            match outcome {
                Ok(signature) => answer.push_str(&format!("DONE {signature}\r\n")),
                Err(code) => answer.push_str(&format!("ERR {code} {own}\r\n")),
            }
            answer.push_str(&self.ready());
            if self.group.state().servers[self.slot].generation != self.generation {
                return None;
            }
            writer.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn ready(&self) -> String {
        let state = match &self.transaction {
            None => "I",
            Some(transaction) if transaction.has_failed => "E",
            Some(_) => "T",
        };
        let (term, number) = self.group.state().servers[self.slot].position();
        format!("READY {state} {term}.{number}\r\n")
    }

    /// Runs a statement; `None` if the server ends meanwhile.
    fn statement(&mut self, id: &str, text: &str) -> Option<Outcome> {
        let (floor, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (floor, text) = rest.split_once(' ')?;
                let (term, number) = floor.split_once('.')?;
                (Some((term.parse().ok()?, number.parse().ok()?)), text)
            }
            None => (None, text),
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        if id != "-" {
            thread::sleep(WORK);
        }
        let state = self.group.state();
        let server = &state.servers[self.slot];
        if !server.is_up || server.generation != self.generation {
            return None;
        }
        let (is_primary, position) = (server.is_primary, server.position());
        drop(state);
        if floor.is_some_and(|floor: (u64, u64)| position < floor) {
            return Some(self.fail("LAGGING"));
        }
        let is_deposed = match &self.transaction {
            Some(transaction) => {
                let is_empty_commit = word == "COMMIT" && transaction.writes.is_empty();
                !transaction.is_read_only && !is_primary && !is_empty_commit && word != "ROLLBACK"
            }
            None => false,
        };
        if is_deposed {
            return Some(self.fail("READONLY"));
        }
        let done = || Some(Ok(String::from("-")));
        match word {
            "BEGIN" if self.transaction.is_none() => {
                let is_read_only = rest == "READ";
                if !is_read_only && !is_primary {
                    return Some(Err("READONLY"));
                }
                self.transaction = Some(Transaction {
                    is_read_only,
                    ..Transaction::default()
                });
                done()
            }
            "ROLLBACK" => {
                self.transaction = None;
                done()
            }
            "COMMIT" => {
                let transaction = self.transaction.take()?;
                if transaction.has_failed {
                    return Some(Err("ABORTED"));
                }
                self.note(id, text);
                self.commit(id, transaction.writes)
            }
            "READ" => self.read(id, text, rest),
            "WRITE" => {
                let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
                self.write(id, text, (item, data), is_primary)
            }
            "PREPARE" => {
                let (name, definition) = rest.split_once(' ')?;
                let (access, shape) = definition.split_once(' ')?;
                let definition = (access.to_owned(), shape.to_owned());
                self.prepared.insert(name.to_owned(), definition);
                done()
            }
            "EXEC" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                let Some((access, _)) = self.prepared.get(name).cloned() else {
                    return Some(self.fail("NOSTMT"));
                };
                let (item, data) = arguments.split_once(' ').unwrap_or((arguments, ""));
                match access.as_str() {
                    "READ" => self.read(id, text, item),
                    _ => self.write(id, text, (item, data), is_primary),
                }
            }
            "SET" | "DEALLOC" => done(),
            "RESET" => {
                self.prepared.clear();
                done()
            }
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
                self.command(word, rest.parse().unwrap_or(0));
                done()
            }
            _ => Some(Err("MALFORMED")),
        }
    }

    fn fail(&mut self, code: &'static str) -> Outcome {
        if let Some(transaction) = &mut self.transaction {
            transaction.has_failed = true;
        }
        Err(code)
    }

    /// Records that a caller's statement runs.
    fn note(&self, id: &str, text: &str) {
        let mut state = self.group.state();
        let server = state.servers[self.slot].id.clone();
        if id != "-" {
            self.group
                .record
                .line(&format!("server {server} runs {id} {text}"));
        }
        let statement = (Instant::now(), server, id.to_owned(), text.to_owned());
        state.statements.push(statement);
    }

    fn signature(&self, id: &str) -> String {
        if id == "-" {
            return String::from("-");
        }
        format!("{}.{id}", self.group.state().servers[self.slot].id)
    }

    fn read(&mut self, id: &str, text: &str, item: &str) -> Option<Outcome> {
        self.note(id, text);
        let state = self.group.state();
        let log = &state.servers[self.slot].log;
        let own = self
            .transaction
            .iter()
            .flat_map(|transaction| &transaction.writes);
        let writes = log.iter().flat_map(|commit| &commit.writes).chain(own);
        let last = writes.filter(|(written, _, _)| written == item).last();
        self.rows = last.map(|(_, data, _)| data.clone()).into_iter().collect();
        drop(state);
        Some(Ok(self.signature(id)))
    }

    fn write(
        &mut self,
        id: &str,
        text: &str,
        (item, data): (&str, &str),
        is_primary: bool,
    ) -> Option<Outcome> {
        if !is_primary {
            return Some(self.fail("READONLY"));
        }
        self.note(id, text);
        let write = (item.to_owned(), data.to_owned(), id.to_owned());
        if let Some(transaction) = &mut self.transaction {
            transaction.writes.push(write);
            return Some(Ok(self.signature(id)));
        }
        self.commit(id, vec![write])
    }

    /// Appends a commit and waits until one replica has it; `None` if the server ends meanwhile.
    fn commit(&self, id: &str, writes: Vec<(String, String, String)>) -> Option<Outcome> {
        if writes.is_empty() {
            return Some(Ok(self.signature(id)));
        }
        let mut state = self.group.state();
        let term = state.term;
        let server = &mut state.servers[self.slot];
        if !server.is_primary {
            return Some(Err("READONLY"));
        }
        let commit = Commit {
            term,
            number: server.position().1 + 1,
            writes,
        };
        server.log.push(commit.clone());
        let place = server.log.len() - 1;
        loop {
            let server = &state.servers[self.slot];
            if !server.is_up || server.generation != self.generation || !server.is_primary {
                return None;
            }
            let holders: Vec<&str> = state
                .servers
                .iter()
                .filter(|server| server.is_up && server.log.get(place) == Some(&commit))
                .map(|server| server.id.as_str())
                .collect();
            if holders.len() > 1 {
                let line = format!("commit {id} {term}.{} held by {holders:?}", commit.number);
                self.group.record.line(&line);
                drop(state);
                return Some(Ok(self.signature(id)));
            }
            let waited = self.group.replicated.wait_timeout(state, REPLICATION);
            state = waited.expect("not poisoned").0;
        }
    }

    fn command(&mut self, word: &str, term: u64) {
        let mut guard = self.group.state();
        let newest = guard.term;
        let server = &mut guard.servers[self.slot];
        match word {
            "PAUSE" if !server.is_primary && term > server.term.max(server.paused_term) => {
                server.paused_term = term;
            }
            "RESUME" => server.paused_term = 0,
            "DEMOTE" if server.is_primary && term > newest => {
                server.is_primary = false;
                server.term = term;
            }
            _ => {}
        }
        let (last, number) = server.position();
        let row = format!(
            "{} {} {last}.{number} {} 0 0 1",
            role(server),
            server.term,
            server.paused_term
        );
        if word != "STATUS" {
            let line = format!("server {} {word} {term}: {row}", server.id);
            self.group.record.line(&line);
        }
        self.rows = vec![row];
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    line.strip_suffix("\r\n").map(str::to_owned)
}
