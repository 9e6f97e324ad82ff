//! A stand-in for one service: a primary and its replicas, with synchronous replication.

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::json::quote;
use crate::record::Record;
use crate::record::visible;
use crate::store::Store;

/// How long a read, a write or a commit takes.
const WORK: Duration = Duration::from_millis(5);
/// How long a promotion takes.
const PROMOTION: Duration = Duration::from_millis(300);
/// How long a write waits for a replica.
const SYNC_WAIT: Duration = Duration::from_secs(5);
/// How far replicas are behind.
const LAG: Duration = Duration::from_millis(60);
/// How often servers write to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A commit in the log.
#[derive(Clone)]
struct Entry {
    term: u64,
    number: u64,
    writes: Vec<(String, String)>,
    /// When the server received it.
    received: Instant,
}

struct Server {
    address: SocketAddr,
    zone: String,
    born: u64,
    is_draining: bool,
    is_primary: bool,
    /// The newest term that the server knows.
    term: u64,
    paused_term: u64,
    log: Vec<Entry>,
    connections: Vec<TcpStream>,
    sequence: u64,
}

impl Server {
    /// Returns the position that the server has applied.
    fn position(&self) -> String {
        let (term, number) = self.applied();
        format!("{term}.{number}")
    }

    /// Returns the position that the server has received.
    fn end(&self) -> (u64, u64) {
        self.log.last().map_or((1, 0), |entry| (entry.term, entry.number))
    }

    /// Returns the entries that the server has applied; a replica applies them later.
    fn applied_log(&self) -> &[Entry] {
        let has_applied = |entry: &Entry| self.is_primary || entry.received.elapsed() >= LAG;
        &self.log[..self.log.iter().take_while(|entry| has_applied(entry)).count()]
    }

    fn applied(&self) -> (u64, u64) {
        let last = self.applied_log().last();
        last.map_or((1, 0), |entry| (entry.term, entry.number))
    }

    /// Receives the entries of the primary's log that are missing.
    fn receive(&mut self, log: &[Entry]) {
        let end = self.end();
        let missing = log.iter().filter(|entry| (entry.term, entry.number) > end);
        let received = Instant::now();
        self.log.extend(missing.map(|entry| Entry { received, ..entry.clone() }));
    }

    fn read(&self, item: &str) -> String {
        let log = self.applied_log();
        let writes = log.iter().rev().flat_map(|entry| entry.writes.iter().rev());
        let mut found = writes.filter(|(other, _)| other == item);
        found.next().map_or("none".to_owned(), |(_, data)| data.clone())
    }
}

/// A statement that a server ran for a client.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub text: String,
}

/// A promotion that the platform accepted.
#[derive(Clone, Debug)]
pub struct Order {
    pub holder: String,
    pub token: u64,
    pub server: String,
}

#[derive(Default)]
struct State {
    term: u64,
    servers: BTreeMap<String, Server>,
    next_server: u64,
    newest_token: u64,
    orders: Vec<Order>,
    /// The primary cuts off the answer to one of this many writes; zero for none.
    cut_one_in: u64,
    writes_answered: u64,
}

/// A service with its servers.
pub struct Service {
    pub name: String,
    state: Mutex<State>,
    changed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Service {
    /// Opens a service with one server in each zone; the first is the primary.
    pub fn open(
        name: &str,
        zones: &[&str],
        store: &Arc<Store>,
        record: &Arc<Record>,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Arc<Self> {
        let service = Arc::new(Service {
            name: name.to_owned(),
            state: Mutex::new(State {
                term: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            runs: Arc::clone(runs),
        });
        for zone in zones {
            service.add_server(zone);
        }
        let beating = Arc::clone(&service);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.register_all();
            }
        });
        service
    }

    /// Starts a server, which copies the primary's log; returns its id.
    pub fn add_server(self: &Arc<Self>, zone: &str) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let id = {
            let mut state = self.state.lock().unwrap();
            state.next_server += 1;
            let id = format!("i-{}-{}", self.name, state.next_server);
            let primary = state.servers.values().find(|server| server.is_primary);
            let log = primary.map_or(Vec::new(), |primary| primary.log.clone());
            let server = Server {
                address,
                zone: zone.to_owned(),
                born: unix_ms(),
                is_draining: false,
                is_primary: state.servers.is_empty(),
                term: state.term,
                paused_term: 0,
                log,
                connections: Vec::new(),
                sequence: 0,
            };
            state.servers.insert(id.clone(), server);
            id
        };
        self.record.line(&format!("server {id} starts in {zone}"));
        self.register(&id);
        let service = Arc::clone(self);
        let name = id.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !service.state.lock().unwrap().servers.contains_key(&name) {
                    return;
                }
                let service = Arc::clone(&service);
                let name = name.clone();
                thread::spawn(move || {
                    // A connection that breaks ends its thread.
                    let _ended = service.converse(&name, stream);
                });
            }
        });
        id
    }

    /// Returns the id of the primary.
    pub fn primary(&self) -> Option<String> {
        let state = self.state.lock().unwrap();
        let mut servers = state.servers.iter();
        servers.find(|(_, server)| server.is_primary).map(|(id, _)| id.clone())
    }

    /// Reports that a server leaves.
    pub fn drain(&self, id: &str) {
        if let Some(server) = self.state.lock().unwrap().servers.get_mut(id) {
            server.is_draining = true;
        }
        self.record.line(&format!("server {id} is draining"));
        self.register(id);
    }

    /// Ends a server: its connections close and its entry goes.
    pub fn end(&self, id: &str) {
        let server = self.state.lock().unwrap().servers.remove(id);
        for stream in server.iter().flat_map(|server| &server.connections) {
            let _closed = stream.shutdown(Shutdown::Both);
        }
        // Ends the thread that accepts connections.
        if let Some(server) = server {
            let _woken = TcpStream::connect(server.address);
        }
        self.store.delete("servers", id);
        self.record.line(&format!("server {id} has left"));
        self.changed.notify_all();
    }

    /// Writes the entries of all servers.
    pub fn register_all(&self) {
        let ids: Vec<String> = self.state.lock().unwrap().servers.keys().cloned().collect();
        for id in ids {
            self.register(&id);
        }
    }

    fn register(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(server) = state.servers.get_mut(id) else {
            return;
        };
        server.sequence += 1;
        let text = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":5,\
             \"state\":\"{}\",\"warmup-left-ms\":0,\"db-role\":\"{}\",\"sequence\":{},\"born\":{}}}",
            quote(&self.name),
            server.address,
            quote(&server.zone),
            if server.is_draining { "draining" } else { "ready" },
            if server.is_primary { "primary" } else { "replica" },
            server.sequence,
            server.born
        );
        // Under the lock, so that no entry follows the deletion of a server that ends.
        self.store.put("servers", id, &text);
    }

    /// Handles `POST /promote`; returns the status.
    pub fn promote(self: &Arc<Self>, id: &str, holder: &str, token: u64) -> u16 {
        let status = {
            let mut state = self.state.lock().unwrap();
            let is_running = state.servers.contains_key(id);
            if token < state.newest_token || !is_running {
                409
            } else {
                state.newest_token = token;
                state.orders.push(Order {
                    holder: holder.to_owned(),
                    token,
                    server: id.to_owned(),
                });
                200
            }
        };
        self.record.line(&format!(
            "promote service={} server={id} holder={holder} token={token} status={status}",
            self.name
        ));
        if status == 200 && self.primary().as_deref() != Some(id) {
            let service = Arc::clone(self);
            let id = id.to_owned();
            thread::spawn(move || {
                thread::sleep(PROMOTION);
                service.lead(&id);
            });
        }
        status
    }

    fn lead(&self, id: &str) {
        {
            let mut state = self.state.lock().unwrap();
            let Some(log) = state.servers.get(id).map(|server| server.log.clone()) else {
                return;
            };
            state.term += 1;
            let term = state.term;
            for (name, server) in &mut state.servers {
                server.is_primary = name == id;
                server.term = term;
                server.paused_term = 0;
                server.log = log.clone();
            }
        }
        self.record.line(&format!("server {id} leads {}", self.name));
        self.changed.notify_all();
        self.register_all();
    }

    /// Lets the primary cut off the answer to one of `one_in` writes before its end.
    pub fn cut_answers(&self, one_in: u64) {
        self.state.lock().unwrap().cut_one_in = one_in;
    }

    /// Returns how many bytes of the answer's last line a write's answer keeps; `None` for all.
    fn cut(&self, text: &str, is_ok: bool) -> Option<usize> {
        let mut state = self.state.lock().unwrap();
        if state.cut_one_in == 0 || !is_ok || !text.starts_with("WRITE") {
            return None;
        }
        state.writes_answered += 1;
        let cuts = state.writes_answered / state.cut_one_in;
        let is_due = state.writes_answered % state.cut_one_in == 0;
        // Up to the state, the blank after it, and parts of the position.
        is_due.then(|| 7 + (cuts % 5) as usize)
    }

    /// Returns the promotions that were accepted.
    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().unwrap().orders.clone()
    }

    fn converse(&self, id: &str, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        let Some(start) = receive(&mut stream, &mut buffer)? else {
            return Ok(());
        };
        let words: Vec<&str> = start.split(' ').collect();
        let is_expected = words.len() >= 3
            && words[0] == "START"
            && words[1] == self.name
            && words.get(3).is_none_or(|expected| *expected == id);
        let position = {
            let mut state = self.state.lock().unwrap();
            match state.servers.get_mut(id) {
                Some(server) if is_expected => {
                    server.connections.push(stream.try_clone()?);
                    server.position()
                }
                _ => {
                    let refusal = format!("ERR WRONGNODE {id}\r\n");
                    return stream.write_all(refusal.as_bytes());
                }
            }
        };
        let account = words[2].to_owned();
        stream.write_all(format!("READY I {position}\r\n").as_bytes())?;
        let mut session = Session {
            service: self,
            server: id,
            account,
            state: 'I',
            is_read_only: false,
            writes: Vec::new(),
            prepared: BTreeMap::new(),
        };
        while let Some(message) = receive(&mut stream, &mut buffer)? {
            let Some(query) = message.strip_prefix("QUERY ") else {
                return Ok(());
            };
            let (query_id, text) = query.split_once(' ').unwrap_or((query, ""));
            let Some(answer) = session.answer(query_id, text) else {
                return stream.shutdown(Shutdown::Both);
            };
            let is_ok = answer.starts_with("DONE");
            if let Some(kept) = self.cut(text, is_ok) {
                let line = answer.find("READY").unwrap_or(0);
                let end = answer.len().min(line + kept);
                let cut = &answer[..end];
                self.record.line(&format!("server {id} cuts off \"{}\"", visible(cut)));
                stream.write_all(cut.as_bytes())?;
                return stream.shutdown(Shutdown::Both);
            }
            stream.write_all(answer.as_bytes())?;
        }
        Ok(())
    }
}

/// Receives a message without its CR LF; `None` at the end of the stream.
pub fn receive(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<String>> {
    loop {
        if let Some(end) = buffer.windows(2).position(|window| window == b"\r\n") {
            let message = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 2);
            return Ok(Some(message));
        }
        let mut part = [0; 16_384];
        let count = stream.read(&mut part)?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend(&part[..count]);
    }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// The outcome of a statement: rows, or the code of the error.
type Outcome = Result<Vec<String>, &'static str>;

/// One connection to one server.
struct Session<'a> {
    service: &'a Service,
    server: &'a str,
    account: String,
    /// `I`, `T` or `E`.
    state: char,
    is_read_only: bool,
    writes: Vec<(String, String)>,
    prepared: BTreeMap<String, String>,
}

impl Session<'_> {
    /// Answers a query; `None` if the server has ended meanwhile.
    fn answer(&mut self, id: &str, text: &str) -> Option<String> {
        let plain = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ')?.1,
            None => text,
        };
        let floor = text.strip_prefix("AFTER ").and_then(|rest| rest.split_once(' '));
        let floor = floor.and_then(|(floor, _)| {
            let (term, number) = floor.split_once('.')?;
            Some((term.parse::<u64>().ok()?, number.parse::<u64>().ok()?))
        });
        let outcome = self.execute(plain, floor)?;
        let position = {
            let state = self.service.state.lock().unwrap();
            state.servers.get(self.server)?.position()
        };
        if id != "-" {
            let result = match &outcome {
                Ok(_) => "ok",
                Err(code) => code,
            };
            self.service.record.line(&format!(
                "run service={} server={} account={} id={id} text=\"{}\" result={result}",
                self.service.name,
                self.server,
                self.account,
                visible(plain)
            ));
            if outcome.is_ok() {
                self.service.runs.lock().unwrap().push(Run {
                    id: id.to_owned(),
                    text: plain.to_owned(),
                });
            }
        }
        let mut answer = String::new();
        match outcome {
            Ok(rows) => {
                for row in rows {
                    answer.push_str(&format!("ROW {row}\r\n"));
                }
                let signature = if id == "-" { "-".to_owned() } else { format!("s.{id}") };
                answer.push_str(&format!("DONE {signature}\r\n"));
            }
            Err(code) => {
                if self.state == 'T' {
                    self.state = 'E';
                }
                answer.push_str(&format!("ERR {code} {}\r\n", self.server));
            }
        }
        answer.push_str(&format!("READY {} {position}\r\n", self.state));
        Some(answer)
    }

    fn execute(&mut self, text: &str, floor: Option<(u64, u64)>) -> Option<Outcome> {
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        if self.state == 'E' && !matches!(word, "ROLLBACK" | "COMMIT") {
            return Some(Err("MALFORMED"));
        }
        Some(match word {
            "BEGIN" => {
                let state = self.service.state.lock().unwrap();
                let server = state.servers.get(self.server)?;
                self.is_read_only = rest == "READ";
                if floor.is_some_and(|floor| server.applied() < floor) {
                    Err("LAGGING")
                } else if !self.is_read_only && !server.is_primary {
                    Err("READONLY")
                } else {
                    self.state = 'T';
                    Ok(Vec::new())
                }
            }
            "ROLLBACK" => {
                self.state = 'I';
                self.writes.clear();
                Ok(Vec::new())
            }
            "COMMIT" if self.state == 'E' => {
                self.state = 'I';
                self.writes.clear();
                Err("ABORTED")
            }
            "COMMIT" => {
                self.state = 'I';
                let writes = std::mem::take(&mut self.writes);
                thread::sleep(WORK);
                match writes.is_empty() {
                    true => Ok(Vec::new()),
                    false => self.commit(writes)?,
                }
            }
            "READ" | "WRITE" => self.access(word, rest, floor)?,
            "EXEC" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                match self.prepared.get(name).cloned() {
                    Some(access) => self.access(&access, arguments, floor)?,
                    None => Err("NOSTMT"),
                }
            }
            "PREPARE" => {
                let mut words = rest.split(' ');
                let name = words.next().unwrap_or("").to_owned();
                let access = words.next().unwrap_or("").to_owned();
                self.prepared.insert(name, access);
                Ok(Vec::new())
            }
            "RESET" => {
                self.prepared.clear();
                Ok(Vec::new())
            }
            "SET" | "DEALLOC" => Ok(Vec::new()),
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => self.control(word, rest)?,
            _ => Err("MALFORMED"),
        })
    }

    fn access(&mut self, word: &str, rest: &str, floor: Option<(u64, u64)>) -> Option<Outcome> {
        thread::sleep(WORK);
        {
            let state = self.service.state.lock().unwrap();
            let server = state.servers.get(self.server)?;
            if floor.is_some_and(|floor| server.applied() < floor) {
                return Some(Err("LAGGING"));
            }
            if self.state == 'T' && !self.is_read_only && !server.is_primary {
                return Some(Err("READONLY"));
            }
            if word == "READ" {
                let own = self.writes.iter().rev().find(|(item, _)| item == rest);
                let data = own.map(|(_, data)| data.clone());
                return Some(Ok(vec![data.unwrap_or_else(|| server.read(rest))]));
            }
            if !server.is_primary {
                return Some(Err("READONLY"));
            }
        }
        let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
        let write = (item.to_owned(), data.to_owned());
        if self.state == 'T' {
            self.writes.push(write);
            return Some(Ok(Vec::new()));
        }
        self.commit(vec![write])
    }

    /// Appends a commit to the log and waits until a replica has it.
    fn commit(&self, writes: Vec<(String, String)>) -> Option<Outcome> {
        let mut state = self.service.state.lock().unwrap();
        let term = state.term;
        let server = state.servers.get_mut(self.server)?;
        if !server.is_primary {
            return Some(Err("READONLY"));
        }
        let number = server.end().1 + 1;
        let entry = Entry {
            term,
            number,
            writes,
            received: Instant::now(),
        };
        server.log.push(entry);
        let until = Instant::now() + SYNC_WAIT;
        loop {
            let log = state.servers.get(self.server)?.log.clone();
            let mut holders = 0;
            for (_, replica) in state.servers.iter_mut().filter(|(id, _)| *id != self.server) {
                if replica.paused_term == 0 {
                    replica.receive(&log);
                }
                holders += usize::from(replica.end() >= (term, number));
            }
            if holders > 0 {
                return Some(Ok(Vec::new()));
            }
            if Instant::now() >= until {
                return None;
            }
            let waited = self.service.changed.wait_timeout(state, Duration::from_millis(20));
            state = waited.unwrap().0;
            if !state.servers.get(self.server)?.is_primary {
                return None;
            }
        }
    }

    fn control(&self, word: &str, rest: &str) -> Option<Outcome> {
        let term: u64 = rest.parse().unwrap_or(0);
        let mut state = self.service.state.lock().unwrap();
        let server = state.servers.get_mut(self.server)?;
        let was_primary = server.is_primary;
        match word {
            "PAUSE" if !server.is_primary && term > server.term => server.paused_term = term,
            "RESUME" => server.paused_term = 0,
            "DEMOTE" if term > server.term => server.is_primary = false,
            _ => {}
        }
        let is_demoted = was_primary && !server.is_primary;
        let row = format!(
            "{} {} {}.{} {} 0 0 {}",
            if server.is_primary { "primary" } else { "replica" },
            server.term,
            server.end().0,
            server.end().1,
            server.paused_term,
            server.connections.len()
        );
        drop(state);
        if is_demoted {
            self.service.register_all();
        }
        self.service.changed.notify_all();
        Some(Ok(vec![row]))
    }
}
