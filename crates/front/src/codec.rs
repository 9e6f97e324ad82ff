//! Frames of the PostgreSQL protocol, decoded by `pgwire` within limits of our own.

use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;

use bytes::Buf;
use bytes::BytesMut;
use pgwire::error::PgWireResult;
use pgwire::messages::DecodeContext;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::SslNegotiationMetaMessage;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::Error;

/// The longest message from a client that has not logged in, in bytes.
const LOGIN_MESSAGE_BYTES: usize = 10_000;
/// The length field, which counts itself.
const LENGTH_BYTES: usize = 4;

/// Which messages may come next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A request for TLS, a startup message or a cancel request.
    Negotiation,
    /// Messages that carry a type byte.
    Typed,
}

/// Splits the byte stream into messages and checks their lengths before they are buffered.
#[derive(Debug)]
pub struct Codec {
    peer: SocketAddr,
    phase: Phase,
    /// The longest accepted message, in bytes without the type byte.
    limit: usize,
}

impl Codec {
    /// Returns a codec for a new connection.
    pub fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            phase: Phase::Negotiation,
            limit: LOGIN_MESSAGE_BYTES,
        }
    }

    /// Expects typed messages of the login from here on.
    pub fn begin_login(&mut self) {
        self.phase = Phase::Typed;
    }

    /// Accepts messages of up to `limit` bytes from here on.
    pub fn raise_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    fn malformed(&self, why: impl ToString) -> Error {
        Error::Malformed {
            step: "decode",
            peer: self.peer,
            why: why.to_string(),
        }
    }

    /// Returns the whole length of the next frame, or `None` if it has not arrived.
    fn frame_length(&self, src: &BytesMut) -> Result<Option<usize>, Error> {
        let offset = usize::from(self.phase == Phase::Typed);
        let Some(mut field) = src.get(offset..offset + LENGTH_BYTES) else {
            return Ok(None);
        };
        let Ok(length) = usize::try_from(field.get_i32()) else {
            return Err(self.malformed("negative length"));
        };
        if length < LENGTH_BYTES {
            return Err(self.malformed("length below four"));
        }
        if length > self.limit {
            return Err(Error::Oversized {
                step: "decode",
                peer: self.peer,
                length,
                limit: self.limit,
            });
        }
        let whole = offset + length;
        Ok((src.len() >= whole).then_some(whole))
    }

    /// Decodes one whole frame.
    fn message(&self, mut frame: BytesMut) -> Result<PgWireFrontendMessage, Error> {
        if self.phase == Phase::Typed && !has_valid_texts(&frame) {
            return Err(self.malformed("a text is not UTF-8"));
        }
        let mut context = DecodeContext::default();
        context.awaiting_frontend_ssl = self.phase == Phase::Negotiation;
        context.awaiting_frontend_startup = self.phase == Phase::Negotiation;
        let mut message = decode(&mut frame, &context).map_err(|why| self.malformed(why))?;
        if let Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) =
            message
        {
            context.awaiting_frontend_ssl = false;
            message = decode(&mut frame, &context).map_err(|why| self.malformed(why))?;
        }
        message.ok_or_else(|| self.malformed("the frame ends too early"))
    }
}

/// Returns false if a text in the frame is not UTF-8, which `pgwire` would silently replace.
fn has_valid_texts(frame: &BytesMut) -> bool {
    let (skipped, texts) = match frame.first() {
        Some(b'Q' | b'E') => (0, 1),
        Some(b'P' | b'B') => (0, 2),
        Some(b'C' | b'D') => (1, 1),
        _ => return true,
    };
    let body = frame.get(1 + LENGTH_BYTES + skipped..).unwrap_or_default();
    body.split(|byte| *byte == 0)
        .take(texts)
        .all(|text| std::str::from_utf8(text).is_ok())
}

fn decode(
    frame: &mut BytesMut,
    context: &DecodeContext,
) -> Result<Option<PgWireFrontendMessage>, String> {
    guarded(|| PgWireFrontendMessage::decode(frame, context))
}

/// Runs a decoder of `pgwire`; some panic on a message whose inner lengths are wrong.
pub fn guarded<T>(decode: impl FnOnce() -> PgWireResult<T>) -> Result<T, String> {
    match catch_unwind(AssertUnwindSafe(decode)) {
        Ok(Ok(decoded)) => Ok(decoded),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("a length inside the message is wrong".to_owned()),
    }
}

impl Decoder for Codec {
    /// A message and the bytes that it took.
    type Item = (PgWireFrontendMessage, usize);
    type Error = Error;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, Error> {
        let Some(length) = self.frame_length(src)? else {
            return Ok(None);
        };
        let frame = src.split_to(length);
        Ok(Some((self.message(frame)?, length)))
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, Error> {
        let message = self.decode(src)?;
        if message.is_none() && !src.is_empty() {
            return Err(Error::Closed {
                step: "decode",
                peer: self.peer,
            });
        }
        Ok(message)
    }
}

impl Encoder<PgWireBackendMessage> for Codec {
    type Error = Error;

    fn encode(&mut self, item: PgWireBackendMessage, dst: &mut BytesMut) -> Result<(), Error> {
        item.encode(dst).map_err(|error| Error::Io {
            step: "encode",
            peer: self.peer,
            source: io::Error::other(error),
        })
    }
}

impl From<io::Error> for Error {
    fn from(source: io::Error) -> Self {
        Self::Io {
            step: "transport",
            peer: SocketAddr::from(([0, 0, 0, 0], 0)),
            source,
        }
    }
}
