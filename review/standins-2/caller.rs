//! A caller of the system.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::record::Record;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// The answer to a statement.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    pub rows: Vec<String>,
    /// The signature, or code and text of the failure.
    pub outcome: std::result::Result<String, String>,
}

/// A session.
pub struct Caller {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
    record: Record,
}

impl Caller {
    pub fn connect(front: SocketAddr, database: &str, key: &str, record: &Record) -> Result<Self> {
        let writer = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(Duration::from_secs(4)))?;
        let mut caller = Self {
            reader: BufReader::new(writer.try_clone()?),
            writer,
            record: record.clone(),
        };
        caller.send(&format!("START {database} {key}"))?;
        let line = caller.receive()?;
        if !line.starts_with("READY I") {
            return Err(Error::new(ErrorKind::Other, line));
        }
        Ok(caller)
    }

    /// Sends a statement and waits for its answer.
    pub fn query(&mut self, text: &str) -> Result<Answer> {
        let id = format!("c{:08x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        self.record.line(&format!("caller sends {id} {text}"));
        let answer = self.exchange(&id, text);
        match &answer {
            Ok(answer) => self.record.line(&format!(
                "caller gets {id} {:?} rows={:?}",
                answer.outcome, answer.rows
            )),
            Err(error) => self.record.line(&format!("caller loses {id}: {error}")),
        }
        answer
    }

    fn exchange(&mut self, id: &str, text: &str) -> Result<Answer> {
        self.send(&format!("QUERY {id} {text}"))?;
        let mut rows = Vec::new();
        let mut outcome = Err(String::from("no outcome"));
        loop {
            let line = self.receive()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "DONE" => outcome = Ok(rest.to_owned()),
                "ERR" => outcome = Err(rest.to_owned()),
                _ => {
                    return Ok(Answer {
                        id: id.to_owned(),
                        rows,
                        outcome,
                    });
                }
            }
        }
    }

    fn send(&mut self, line: &str) -> Result<()> {
        self.writer.write_all(format!("{line}\r\n").as_bytes())
    }

    fn receive(&mut self) -> Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(Error::new(ErrorKind::UnexpectedEof, "closed"));
        }
        Ok(line.trim_end_matches("\r\n").to_owned())
    }
}
