//! A client's session.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::database::receive;
use crate::record::Record;
use crate::record::visible;

/// A client's session at one instance.
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
    record: Arc<Record>,
    name: String,
}

impl Client {
    /// Connects and sends START; `None` if the session is refused.
    pub fn open(
        address: SocketAddr,
        database: &str,
        key: &str,
        record: &Arc<Record>,
        name: &str,
    ) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let mut client = Client {
            stream,
            buffer: Vec::new(),
            record: Arc::clone(record),
            name: name.to_owned(),
        };
        client.send(&format!("START {database} {key}"));
        let answer = client.line()?;
        answer.starts_with("READY").then_some(client)
    }

    /// Sends one message.
    pub fn send(&mut self, message: &str) {
        let name = &self.name;
        self.record.line(&format!("client {name} sends \"{}\"", visible(message)));
        // A lost connection shows in the answer.
        let _sent = self.stream.write_all(format!("{message}\r\n").as_bytes());
    }

    /// Sends the beginning of a message and closes the connection, like a client whose process ends
    /// while it sends.
    pub fn send_part(mut self, part: &str) {
        let name = &self.name;
        self.record.line(&format!("client {name} sends \"{}\" and ends", visible(part)));
        let _sent = self.stream.write_all(part.as_bytes());
    }

    /// Receives one message; `None` if there is none.
    pub fn line(&mut self) -> Option<String> {
        let line = receive(&mut self.stream, &mut self.buffer).ok().flatten();
        let text = line.as_deref().map_or("(no answer)".to_owned(), visible);
        self.record.line(&format!("client {} gets \"{text}\"", self.name));
        line
    }

    /// Receives the messages up to READY; `None` if the session ends before.
    pub fn answer(&mut self) -> Option<Vec<String>> {
        let mut lines = Vec::new();
        loop {
            let line = self.line()?;
            let is_last = line.starts_with("READY");
            lines.push(line);
            if is_last {
                return Some(lines);
            }
        }
    }
}
