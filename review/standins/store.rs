//! A stand-in for the platform's store: rows, conditional transactions, feeds and eras.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::http::Response;
use crate::json::Json;
use crate::json::quote;

/// Table, part and key.
type Name = (String, String, String);

/// How long a transaction takes.
const TRANSACTION: Duration = Duration::from_millis(8);
/// How long any other answer takes.
const ANSWER: Duration = Duration::from_millis(2);

/// The rows at one moment.
#[derive(Clone, Default)]
pub struct Copy {
    version: u64,
    /// Value in Base64 and version.
    rows: BTreeMap<Name, (String, u64)>,
}

#[derive(Default)]
struct State {
    now: Copy,
    era: u64,
    /// Every change: version, table and row.
    changes: Vec<(u64, String, String)>,
    is_away: bool,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    begun: Instant,
}

impl Store {
    /// Opens an empty store.
    pub fn open() -> Arc<Self> {
        let state = State {
            era: 1,
            ..State::default()
        };
        Arc::new(Store {
            state: Mutex::new(state),
            changed: Condvar::new(),
            begun: Instant::now(),
        })
    }

    /// Serves calls at a free port; returns the address.
    pub fn serve(self: &Arc<Self>) -> SocketAddr {
        let store = Arc::clone(self);
        http::serve("127.0.0.1", move |request| store.answer(&request))
    }

    /// Writes a row like the operator or a server.
    pub fn put(&self, table: &str, key: &str, text: &str) {
        let mut state = self.state.lock().unwrap();
        state.now.version += 1;
        let version = state.now.version;
        put_row(&mut state, version, name(table, "", key), base64(text));
        drop(state);
        self.changed.notify_all();
    }

    /// Deletes a row like a server that has left.
    pub fn delete(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.now.version += 1;
        let version = state.now.version;
        delete_row(&mut state, version, &name(table, "", key));
        drop(state);
        self.changed.notify_all();
    }

    /// Returns a copy of all rows.
    pub fn copy(&self) -> Copy {
        self.state.lock().unwrap().now.clone()
    }

    /// Ends all service; every call gets 503.
    pub fn leave(&self) {
        self.state.lock().unwrap().is_away = true;
        self.changed.notify_all();
    }

    /// Returns from an older copy: versions go back, and the era rises by one.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.state.lock().unwrap();
        let version = copy.version;
        state.changes.retain(|change| change.0 <= version);
        state.now = copy;
        state.era += 1;
        state.is_away = false;
        drop(state);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Response {
        let mut response = self.dispatch(request);
        let era = self.state.lock().unwrap().era;
        let header = ("Store-Era".to_owned(), era.to_string());
        response.headers.push(header);
        response
    }

    fn dispatch(&self, request: &Request) -> Response {
        if self.state.lock().unwrap().is_away {
            return Response::new(503, String::new());
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/yuccamount/rows-tx") => {
                std::thread::sleep(TRANSACTION);
                self.transact(request)
            }
            ("GET", "/yuccamount/rows-get") => {
                std::thread::sleep(ANSWER);
                self.read(request)
            }
            ("GET", "/yuccamount/rows-feed") => self.follow(request),
            _ => Response::new(404, String::new()),
        }
    }

    fn transact(&self, request: &Request) -> Response {
        let Some(body) = Json::parse(&request.body) else {
            return Response::new(400, String::new());
        };
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return Response::new(503, String::new());
        }
        let expected = body.get("expected-rev").list();
        let version_of = |state: &State, entry: &Json| {
            state.now.rows.get(&name_of(entry)).map_or(0, |row| row.1)
        };
        if expected
            .iter()
            .any(|entry| version_of(&state, entry) != entry.get("schema-version").number())
        {
            let rows: Vec<String> = expected
                .iter()
                .filter_map(|entry| {
                    let name = name_of(entry);
                    let (value, version) = state.now.rows.get(&name)?;
                    Some(format_row(&name, value, *version))
                })
                .collect();
            return Response::new(412, self.page(&state, &rows));
        }
        state.now.version += 1;
        let version = state.now.version;
        for entry in body.get("put-rows").list() {
            let value = entry.get("value").text().to_owned();
            put_row(&mut state, version, name_of(entry), value);
        }
        for entry in body.get("delete-rows").list() {
            delete_row(&mut state, version, &name_of(entry));
        }
        let response = Response::new(200, self.page(&state, &[]));
        drop(state);
        self.changed.notify_all();
        response
    }

    fn read(&self, request: &Request) -> Response {
        let state = self.state.lock().unwrap();
        let (from, target) = (request.param("from"), request.param("target"));
        let rows: Vec<String> = state
            .now
            .rows
            .iter()
            .filter(|((table, part, key), _)| {
                table == request.param("table")
                    && part == request.param("part")
                    && key.as_str() >= from
                    && (target.is_empty() || key.as_str() < target)
            })
            .map(|(name, (value, version))| format_row(name, value, *version))
            .collect();
        Response::new(200, self.page(&state, &rows))
    }

    fn follow(&self, request: &Request) -> Response {
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait: u64 = request.param("wait-ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            if state.is_away {
                return Response::new(503, String::new());
            }
            if after > state.now.version || state.era != era {
                return Response::new(410, String::new());
            }
            let rows: Vec<String> = state
                .changes
                .iter()
                .filter(|(version, table, _)| *version > after && table == request.param("table"))
                .map(|(_, _, row)| row.clone())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return Response::new(200, self.page(&state, &rows));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn page(&self, state: &State, rows: &[String]) -> String {
        format!(
            "{{\"rows\":[{}],\"has-more\":false,\"schema-version\":{},\"now-ms\":{}}}",
            rows.join(","),
            state.now.version,
            self.begun.elapsed().as_millis()
        )
    }
}

fn name(table: &str, part: &str, key: &str) -> Name {
    (table.to_owned(), part.to_owned(), key.to_owned())
}

fn name_of(entry: &Json) -> Name {
    let text = |field| entry.get(field).text();
    name(text("table"), text("part"), text("key"))
}

fn put_row(state: &mut State, version: u64, name: Name, value: String) {
    let row = format_row(&name, &value, version);
    state.changes.push((version, name.0.clone(), row));
    state.now.rows.insert(name, (value, version));
}

fn delete_row(state: &mut State, version: u64, name: &Name) {
    if state.now.rows.remove(name).is_some() {
        let row = format!(
            "{{\"table\":{},\"part\":{},\"key\":{},\"schema-version\":{version},\"removed\":true}}",
            quote(&name.0),
            quote(&name.1),
            quote(&name.2)
        );
        state.changes.push((version, name.0.clone(), row));
    }
}

fn format_row(name: &Name, value: &str, version: u64) -> String {
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"value\":{},\"schema-version\":{version}}}",
        quote(&name.0),
        quote(&name.1),
        quote(&name.2),
        quote(value)
    )
}

fn base64(text: &str) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in text.as_bytes().chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char;
            out.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
