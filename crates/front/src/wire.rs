//! One client's connection as a stream of messages.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Span;
use futures::SinkExt;
use futures::StreamExt;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::time::error::Elapsed;
use tokio_util::codec::Framed;

use crate::Codec;
use crate::Error;

/// How long a closed connection is still read, so that its last message reaches the client.
const LINGER: Duration = Duration::from_millis(500);
/// Messages that are read ahead while a statement runs.
const AHEAD_MESSAGES: usize = 256;
/// Bytes that are read ahead while a statement runs.
const AHEAD_BYTES: usize = 1_024 * 1_024;

/// A byte stream, with or without TLS.
pub trait Duplex: AsyncRead + AsyncWrite + Unpin + Send {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send> Duplex for T {}

/// Reads and writes messages, and reads ahead while a statement runs.
pub struct Wire {
    framed: Framed<Box<dyn Duplex>, Codec>,
    peer: SocketAddr,
    /// How long the client may take to accept the next part of an answer.
    write: Duration,
    /// Messages read while a statement ran, oldest first, each with its length.
    ahead: VecDeque<(PgWireFrontendMessage, usize)>,
    /// The sum of the lengths in `ahead`.
    ahead_bytes: usize,
}

impl Wire {
    /// Returns a wire over a new byte stream.
    pub fn new(stream: Box<dyn Duplex>, peer: SocketAddr, write: Span) -> Self {
        Self {
            framed: Framed::new(stream, Codec::new(peer)),
            peer,
            write: Duration::from(write),
            ahead: VecDeque::new(),
            ahead_bytes: 0,
        }
    }

    /// Returns the client's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the codec, to tell it what comes next.
    pub fn codec(&mut self) -> &mut Codec {
        self.framed.codec_mut()
    }

    /// Gives the byte stream back; fails if the client has sent bytes that nobody asked for.
    pub fn into_stream(self) -> Result<Box<dyn Duplex>, Error> {
        if self.framed.read_buffer().is_empty() {
            return Ok(self.framed.into_inner());
        }
        Err(Error::Malformed {
            step: "negotiate",
            peer: self.peer,
            why: "bytes after the request for TLS".to_owned(),
        })
    }

    /// Returns the next message.
    pub async fn next(&mut self) -> Result<PgWireFrontendMessage, Error> {
        if let Some((message, length)) = self.ahead.pop_front() {
            self.ahead_bytes -= length;
            return Ok(message);
        }
        let (message, _) = self.read().await?;
        Ok(message)
    }

    /// Returns true if a message was read ahead and not taken.
    pub fn has_ahead(&self) -> bool {
        !self.ahead.is_empty()
    }

    /// Reads ahead until the connection is gone, and returns why.
    ///
    /// It waits forever once enough is read ahead. Dropping the future loses no message.
    pub async fn gone(&mut self) -> Error {
        loop {
            if self.is_full() {
                std::future::pending::<()>().await;
            }
            match self.read().await {
                Ok((message, length)) => self.keep(message, length),
                Err(error) => return error,
            }
        }
    }

    /// Reads ahead and returns true if `Sync` comes before another `Execute` or `Flush`.
    pub async fn ends_with_sync(&mut self) -> Result<bool, Error> {
        let mut seen = 0;
        loop {
            for (message, _) in self.ahead.iter().skip(seen) {
                match message {
                    PgWireFrontendMessage::Sync(_) => return Ok(true),
                    PgWireFrontendMessage::Parse(_)
                    | PgWireFrontendMessage::Bind(_)
                    | PgWireFrontendMessage::Describe(_)
                    | PgWireFrontendMessage::Close(_) => {}
                    _ => return Ok(false),
                }
            }
            seen = self.ahead.len();
            if self.is_full() {
                return Ok(false);
            }
            let (message, length) = self.read().await?;
            self.keep(message, length);
        }
    }

    fn is_full(&self) -> bool {
        self.ahead.len() >= AHEAD_MESSAGES || self.ahead_bytes >= AHEAD_BYTES
    }

    fn keep(&mut self, message: PgWireFrontendMessage, length: usize) {
        self.ahead_bytes += length;
        self.ahead.push_back((message, length));
    }

    async fn read(&mut self) -> Result<(PgWireFrontendMessage, usize), Error> {
        match self.framed.next().await {
            Some(Ok(item)) => Ok(item),
            Some(Err(error)) => Err(self.with_peer(error)),
            None => Err(Error::Closed {
                step: "read",
                peer: self.peer,
            }),
        }
    }

    /// Queues a message.
    pub async fn feed(&mut self, message: PgWireBackendMessage) -> Result<(), Error> {
        let fed = tokio::time::timeout(self.write, self.framed.feed(message)).await;
        self.written(fed)
    }

    /// Sends all queued messages.
    pub async fn flush(&mut self) -> Result<(), Error> {
        let flushed = tokio::time::timeout(self.write, self.framed.flush()).await;
        self.written(flushed)
    }

    fn written(&self, written: Result<Result<(), Error>, Elapsed>) -> Result<(), Error> {
        match written {
            Ok(written) => written.map_err(|error| self.with_peer(error)),
            Err(_) => Err(Error::Timeout {
                step: "write",
                peer: self.peer,
            }),
        }
    }

    /// Queues a message and sends all that is queued.
    pub async fn send(&mut self, message: PgWireBackendMessage) -> Result<(), Error> {
        self.feed(message).await?;
        self.flush().await
    }

    /// Ends the connection and reads on for a moment, so that the client gets the last message.
    pub async fn close(mut self) {
        let lingering = async {
            if self.framed.flush().await.is_err() {
                return;
            }
            let stream = self.framed.get_mut();
            if stream.shutdown().await.is_err() {
                return;
            }
            let mut discarded = [0; 4_096];
            while stream.read(&mut discarded).await.is_ok_and(|n| n > 0) {}
        };
        // The client's silence is no reason to keep the connection.
        let _elapsed = tokio::time::timeout(LINGER, lingering).await;
    }

    fn with_peer(&self, error: Error) -> Error {
        match error {
            Error::Io { step, source, .. } => Error::Io {
                step,
                peer: self.peer,
                source,
            },
            other => other,
        }
    }
}
