//! The platform's store and the call that promotes a server.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::group::Group;
use crate::json::Json;
use crate::json::encode_base64;
use crate::json::quote;
use crate::record::Record;

/// How long the store takes for an answer, and for a transaction.
const ANSWER: Duration = Duration::from_millis(4);
const TRANSACTION: Duration = Duration::from_millis(8);
/// The most rows and entries of a call.
const PAGE_ROWS: usize = 500;
const ENTRIES_MAX: usize = 100;

type Name = (String, String, String);
type Hook = Box<dyn FnMut(&Page<'_>) + Send>;

/// An answer to `rows-get` that is about to be sent.
pub struct Page<'a> {
    pub table: &'a str,
    pub from: &'a str,
    pub has_more: bool,
}

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value in Base64 and version.
    rows: BTreeMap<Name, (String, u64)>,
    /// Version, table and row of each change.
    changes: Vec<(u64, String, String)>,
}

impl Rows {
    fn put(&mut self, name: Name, value: String) {
        let row = format_row(&name, &value, self.version);
        self.changes.push((self.version, name.0.clone(), row));
        self.rows.insert(name, (value, self.version));
    }

    fn delete(&mut self, name: &Name) {
        if self.rows.remove(name).is_none() {
            return;
        }
        let row = format!(
            "{{\"table\":{},\"part\":{},\"key\":{},\"schema-version\":{},\"removed\":true}}",
            quote(&name.0),
            quote(&name.1),
            quote(&name.2),
            self.version
        );
        self.changes.push((self.version, name.0.clone(), row));
    }
}

/// The store.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    begun: Instant,
    /// Called after the rows of an answer were read and before it is sent.
    pub hook: Mutex<Option<Hook>>,
    record: Record,
}

/// A request.
struct Request {
    method: String,
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: String,
}

type Answer = (u16, String);

impl Store {
    /// Serves an empty store at a free port.
    pub fn bind(record: &Record) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            begun: Instant::now(),
            hook: Mutex::default(),
            record: record.clone(),
        });
        let serving = Arc::clone(&store);
        let address = serve(move |request| serving.answer(request))?;
        Ok((store, address))
    }

    /// Writes a row like the operator or a server, and returns once that is acknowledged.
    pub fn put(&self, table: &str, key: &str, content: &str) {
        let mut rows = self.rows.lock().expect("not poisoned");
        rows.version += 1;
        rows.put(named(table, key), encode_base64(content.as_bytes()));
        self.changed.notify_all();
    }

    /// Removes a row like an expired entry.
    pub fn delete(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().expect("not poisoned");
        rows.version += 1;
        rows.delete(&named(table, key));
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Answer {
        thread::sleep(ANSWER);
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/yuccamount/rows-tx") => self.transact(request),
            ("GET", "/yuccamount/rows-get") => self.read(request),
            ("GET", "/yuccamount/rows-feed") => self.follow(request),
            _ => (404, String::from("{}")),
        }
    }

    fn page(&self, version: u64, rows: &[String], has_more: bool) -> String {
        let now = self.begun.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"has-more\":{has_more},\"schema-version\":{version},\"now-ms\":{now}}}",
            rows.join(",")
        )
    }

    fn transact(&self, request: &Request) -> Answer {
        thread::sleep(TRANSACTION);
        let Some(body) = Json::parse(&request.body) else {
            return (400, String::from("{}"));
        };
        let expected = body.get("expected-rev").list();
        let puts = body.get("put-rows").list();
        let deletes = body.get("delete-rows").list();
        if expected.len() + puts.len() + deletes.len() > ENTRIES_MAX {
            self.record
                .line("store refuses a call with more than 100 entries");
            return (400, String::from("{}"));
        }
        let mut rows = self.rows.lock().expect("not poisoned");
        let differs = |entry: &Json| {
            let version = rows.rows.get(&name_of(entry)).map_or(0, |row| row.1);
            entry.get("schema-version").number() != version
        };
        if expected.iter().any(differs) {
            let present: Vec<String> = expected
                .iter()
                .map(name_of)
                .filter_map(|name| {
                    let (value, version) = rows.rows.get(&name)?;
                    Some(format_row(&name, value, *version))
                })
                .collect();
            return (412, self.page(rows.version, &present, false));
        }
        rows.version += 1;
        for entry in puts {
            rows.put(name_of(entry), entry.get("value").text().to_owned());
        }
        for entry in deletes {
            rows.delete(&name_of(entry));
        }
        self.changed.notify_all();
        (200, self.page(rows.version, &[], false))
    }

    fn read(&self, request: &Request) -> Answer {
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, first, target) =
            (text("table"), text("part"), text("from"), text("target"));
        let limit = text("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let (page, has_more) = {
            let rows = self.rows.lock().expect("not poisoned");
            let from = (table.clone(), part.clone(), first.clone());
            let mut found: Vec<String> = rows
                .rows
                .range(from..)
                .take_while(|(name, _)| name.0 == table && name.1 == part)
                .take_while(|(name, _)| target.is_empty() || name.2 < target)
                .take(limit + 1)
                .map(|(name, (value, version))| format_row(name, value, *version))
                .collect();
            let has_more = found.len() > limit;
            found.truncate(limit);
            (self.page(rows.version, &found, has_more), has_more)
        };
        if let Some(hook) = self.hook.lock().expect("not poisoned").as_mut() {
            hook(&Page {
                table: &table,
                from: &first,
                has_more,
            });
        }
        (200, page)
    }

    fn follow(&self, request: &Request) -> Answer {
        let number = |name: &str| -> Option<u64> { request.query.get(name)?.parse().ok() };
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000));
        let table = request.query.get("table").cloned().unwrap_or_default();
        let deadline = Instant::now() + wait;
        let mut rows = self.rows.lock().expect("not poisoned");
        loop {
            let found: Vec<String> = rows
                .changes
                .iter()
                .filter(|(version, changed, _)| *version > after && *changed == table)
                .map(|(_, _, row)| row.clone())
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                return (200, self.page(rows.version, &found, false));
            }
            rows = self
                .changed
                .wait_timeout(rows, left)
                .expect("not poisoned")
                .0;
        }
    }
}

/// Serves `POST /promote` at a free port, with the fence checked.
pub fn serve_promotions(group: &Arc<Group>, record: &Record) -> std::io::Result<SocketAddr> {
    let group = Arc::clone(group);
    let record = record.clone();
    let newest = Mutex::new(0_u64);
    serve(move |request| {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let token: u64 = header("x-yuccamount-fence-token").parse().unwrap_or(0);
        let id = body.get("id").text().to_owned();
        let status = {
            let mut newest = newest.lock().expect("not poisoned");
            let is_fenced = token < *newest;
            *newest = token.max(*newest);
            match is_fenced || !group.is_running(&id) {
                true => 409,
                false => 200,
            }
        };
        record.line(&format!(
            "promote id={id} holder={} token={token} answer={status}",
            header("x-yuccamount-lock-holder")
        ));
        if status == 200 {
            let group = Arc::clone(&group);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(300));
                group.lead(&id);
            });
        }
        (status, String::from("{}"))
    })
}

fn serve(
    answer: impl Fn(&Request) -> Answer + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || serve_connection(&stream, &*answer));
        }
    });
    Ok(address)
}

fn serve_connection(stream: &TcpStream, answer: &dyn Fn(&Request) -> Answer) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    // A small answer must not wait for the acknowledgement of the one before.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut reader = BufReader::new(reading);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader) {
        let (status, body) = answer(&request);
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let message = [head.as_bytes(), body.as_bytes()].concat();
        if writer.write_all(&message).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (decode(name), decode(value)))
        .collect();
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

/// Decodes a part of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn named(table: &str, key: &str) -> Name {
    (table.to_owned(), String::new(), key.to_owned())
}

fn name_of(entry: &Json) -> Name {
    let text = |field: &str| entry.get(field).text().to_owned();
    (text("table"), text("part"), text("key"))
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
