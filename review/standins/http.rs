//! A small HTTP/1.1 server: one thread per connection.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request.
pub struct Request {
    pub method: String,
    pub path: String,
    /// Name and value, decoded.
    pub query: Vec<(String, String)>,
    /// Name in lower case and value.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Returns a parameter of the query, or an empty text.
    pub fn param(&self, name: &str) -> &str {
        find(&self.query, name)
    }

    /// Returns a header by its name in lower case, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

fn find<'a>(list: &'a [(String, String)], name: &str) -> &'a str {
    let found = list.iter().find(|(other, _)| other == name);
    found.map_or("", |(_, value)| value)
}

/// A response.
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Response {
    /// Returns a response without extra headers.
    pub fn new(status: u16, body: String) -> Self {
        Response {
            status,
            headers: Vec::new(),
            body,
        }
    }
}

/// Serves requests on a free port of `ip` until the process ends; returns the address.
pub fn serve(ip: &str, handler: impl Fn(Request) -> Response + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                // A connection that breaks ends its thread.
                let _ended = converse(stream, &*handler);
            });
        }
    });
    address
}

fn converse(mut stream: TcpStream, handler: &dyn Fn(Request) -> Response) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    loop {
        let Some(request) = receive(&mut stream, &mut buffer)? else {
            return Ok(());
        };
        let response = handler(request);
        let mut head = format!("HTTP/1.1 {} -\r\n", response.status);
        for (name, value) in &response.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("Content-Type: application/json\r\n");
        head.push_str(&format!("Content-Length: {}\r\n\r\n", response.body.len()));
        stream.write_all(head.as_bytes())?;
        stream.write_all(response.body.as_bytes())?;
    }
}

fn receive(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<Request>> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        if !read_more(stream, buffer)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or("").split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = find(&headers, "content-length").parse().unwrap_or(0);
    while buffer.len() < length {
        if !read_more(stream, buffer)? {
            return Ok(None);
        }
    }
    let body: Vec<u8> = buffer.drain(..length).collect();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (decode(name), decode(value)))
        .collect();
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    }))
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut part = [0; 16_384];
    let count = stream.read(&mut part)?;
    buffer.extend(&part[..count]);
    Ok(count > 0)
}

/// Decodes a part of a query string.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3);
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        let code = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a GET request and returns the status; 0 if there is no answer.
pub fn get_status(address: SocketAddr, path: &str) -> u16 {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) else {
        return 0;
    };
    let _set = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    if stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    let mut answer = String::new();
    let _partial = stream.read_to_string(&mut answer);
    let status = answer.split(' ').nth(1);
    status.and_then(|status| status.parse().ok()).unwrap_or(0)
}
