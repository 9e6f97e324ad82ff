//! An authenticated connection between two instances.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use rand::RngCore;
use seal::Authenticator;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

use crate::Error;
use crate::forward::message::Hello;
use crate::forward::message::Message;

/// The version of the protocol; other versions are refused.
const VERSION: u32 = 1;
/// Separates this use of the fleet's secret from other uses.
const SEAL_PURPOSE: &[u8] = b"yuccamount forward 1";
/// Length of the authentication code; 128 bits can't be guessed.
const MAC_BYTES: usize = 16;
/// Maximum size of a frame: a message of the servers has at most 1 MiB.
const FRAME_BYTES_MAX: usize = 4 << 20;
/// Maximum size of the first frame, before the peer is known.
const HELLO_BYTES_MAX: usize = 1 << 10;
/// Time limit for the first frames.
const HELLO_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Which side of a connection an instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// It opened the connection.
    Origin,
    /// It accepted the connection.
    Receiver,
}

/// Seals the frames of one direction, or verifies them.
struct Direction {
    seal: Authenticator,
    /// The number of the next frame.
    next: u64,
}

/// Sends messages.
pub struct Sender {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    direction: Direction,
}

/// Receives messages.
pub struct Receiver {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    direction: Direction,
}

/// Exchanges the first messages; the result also holds the name that the peer states, which is
/// proven by the first message that arrives.
///
/// `expected` is the name that the peer must have; messages of another one are refused.
pub async fn open(
    stream: TcpStream,
    side: Side,
    secret: &[u8],
    name: &Arc<str>,
    expected: Option<&Arc<str>>,
) -> Result<(Sender, Receiver, Arc<str>), Error> {
    let opened = timeout(HELLO_TIMEOUT, exchange(stream, name)).await;
    let (framed, own, hello) = opened.map_err(|_| Error::Timeout {
        step: "greet",
        peer: "instance".to_owned(),
    })??;
    if hello.version != VERSION || expected.is_some_and(|expected| *expected != hello.name) {
        return Err(broken(
            "greet",
            format!("{} has version {}", hello.name, hello.version),
        ));
    }
    let (origin, receiver) = match side {
        Side::Origin => (&own, &hello),
        Side::Receiver => (&hello, &own),
    };
    let to_receiver = Direction::open(secret, 0, origin, receiver);
    let to_origin = Direction::open(secret, 1, origin, receiver);
    let (outward, inward) = match side {
        Side::Origin => (to_receiver, to_origin),
        Side::Receiver => (to_origin, to_receiver),
    };
    // The peer's first frames may already be in the buffer.
    let parts = framed.into_parts();
    let (reader, writer) = parts.io.into_split();
    let mut frames = FramedRead::new(reader, codec(FRAME_BYTES_MAX));
    *frames.read_buffer_mut() = parts.read_buf;
    let sender = Sender {
        frames: FramedWrite::new(writer, codec(FRAME_BYTES_MAX)),
        direction: outward,
    };
    let receiver = Receiver {
        frames,
        direction: inward,
    };
    Ok((sender, receiver, hello.name))
}

async fn exchange(
    stream: TcpStream,
    name: &Arc<str>,
) -> Result<(Framed<TcpStream, LengthDelimitedCodec>, Hello, Hello), Error> {
    stream
        .set_nodelay(true)
        .map_err(|cause| broken("greet", cause))?;
    let mut nonce = [0; 16];
    rand::rng().fill_bytes(&mut nonce);
    let own = Hello {
        version: VERSION,
        nonce,
        name: Arc::clone(name),
    };
    let mut framed = Framed::new(stream, codec(HELLO_BYTES_MAX));
    let bytes = postcard::to_stdvec(&own).map_err(|cause| broken("greet", cause))?;
    let sent = framed.send(Bytes::from(bytes)).await;
    sent.map_err(|cause| broken("greet", cause))?;
    let frame = framed
        .next()
        .await
        .ok_or_else(|| broken("greet", "closed"))?;
    let frame = frame.map_err(|cause| broken("greet", cause))?;
    let hello = postcard::from_bytes(&frame).map_err(|cause| broken("greet", cause))?;
    Ok((framed, own, hello))
}

impl Direction {
    fn open(secret: &[u8], direction: u8, origin: &Hello, receiver: &Hello) -> Self {
        let mut purpose = SEAL_PURPOSE.to_vec();
        purpose.push(direction);
        for hello in [origin, receiver] {
            purpose.extend(hello.nonce);
            // The length keeps the names apart.
            purpose.extend((hello.name.len() as u64).to_be_bytes());
            purpose.extend(hello.name.as_bytes());
        }
        Self {
            seal: Authenticator::open(secret, &purpose, MAC_BYTES),
            next: 0,
        }
    }
}

impl Sender {
    /// Sends a message.
    pub async fn send(&mut self, message: &Message) -> Result<(), Error> {
        let numbered = (self.direction.next, message);
        let mut bytes =
            postcard::to_stdvec(&numbered).map_err(|cause| broken("send a message", cause))?;
        self.direction.next += 1;
        self.direction.seal.append_tag(&mut bytes);
        let sent = self.frames.send(Bytes::from(bytes)).await;
        sent.map_err(|cause| broken("send a message", cause))
    }
}

impl Receiver {
    /// Receives the next message; an error ends the connection.
    pub async fn receive(&mut self) -> Result<Message, Error> {
        const STEP: &str = "receive a message";
        let frame = self.frames.next().await;
        let frame = frame.ok_or_else(|| broken(STEP, "closed"))?;
        let frame = frame.map_err(|cause| broken(STEP, cause))?;
        let verified = self.direction.seal.verify(&frame);
        let bytes = verified.ok_or_else(|| broken(STEP, "wrong authentication code"))?;
        let (number, message): (u64, Message) =
            postcard::from_bytes(bytes).map_err(|cause| broken(STEP, cause))?;
        if number != self.direction.next {
            return Err(broken(STEP, "a frame out of order"));
        }
        self.direction.next += 1;
        Ok(message)
    }
}

fn codec(bytes_max: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(bytes_max)
        .new_codec()
}

fn broken(step: &'static str, why: impl std::fmt::Display) -> Error {
    Error::Broken {
        step,
        peer: "instance".to_owned(),
        why: why.to_string(),
    }
}
