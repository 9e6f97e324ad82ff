//! The client side of the transport.

use std::collections::BTreeMap;
use std::ffi::CString;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anng::Message;
use anng::Socket;
use anng::protocols::reqrep0::Req0;
use async_trait::async_trait;
use timeline::Ring;
use tokio::time::timeout;

use crate::Body;
use crate::Codec;
use crate::Error;
use crate::Frame;
use crate::Identity;
use crate::Peer;
use crate::Refusal;
use crate::Transport;
use crate::frame::VERSION;

/// Sends authenticated requests, with one socket per peer.
pub struct Client {
    identity: Identity,
    codec: Codec,
    ring: Arc<Ring>,
    /// The identifier of the next request; starts at 1.
    next_id: AtomicU64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    sockets: BTreeMap<Arc<str>, Arc<Socket<Req0>>>,
    /// The latest known incarnation at each address.
    incarnations: BTreeMap<Arc<str>, u64>,
}

impl Client {
    /// Opens a client; connections are made on first use.
    pub fn open(identity: Identity, secret: &[u8], ring: Arc<Ring>) -> Arc<Self> {
        Arc::new(Self {
            identity,
            codec: Codec::open(secret),
            ring,
            next_id: AtomicU64::new(1),
            state: Mutex::default(),
        })
    }

    /// Closes the connection to an address that is no longer in use.
    pub fn disconnect(&self, address: &str) {
        let mut state = self.lock();
        state.sockets.remove(address);
        state.incarnations.remove(address);
    }

    async fn socket(&self, address: &str) -> Result<Arc<Socket<Req0>>, Error> {
        if let Some(socket) = self.lock().sockets.get(address) {
            return Ok(Arc::clone(socket));
        }
        let url = CString::new(format!("tcp://{address}"))
            .map_err(|_| transport_error("dial", address, "the address is malformed"))?;
        let socket = Req0::dial(url)
            .await
            .map_err(|cause| transport_error("dial", address, cause))?;
        let socket = Arc::new(socket);
        let mut state = self.lock();
        let kept = state.sockets.entry(Arc::from(address)).or_insert(socket);
        Ok(Arc::clone(kept))
    }

    async fn exchange(&self, address: &str, request: Vec<u8>) -> Result<Frame, Error> {
        let socket = self.socket(address).await?;
        let to_incarnation = self.lock().incarnations.get(address).copied().unwrap_or(0);
        let frame = Frame {
            version: VERSION,
            fleet: Arc::clone(&self.identity.fleet),
            from: Arc::clone(&self.identity.name),
            incarnation: self.identity.incarnation,
            to_incarnation,
            id: self.next_id.fetch_add(1, Ordering::Relaxed),
            stamp: self.ring.stamp(),
            body: Body::Request(request),
        };
        let bytes = self.codec.encode(&frame)?;
        let mut message = Message::with_capacity(bytes.len());
        message
            .write_all(&bytes)
            .map_err(|cause| transport_error("send", address, cause))?;
        let mut context = socket.context();
        let pending = context.request(message).await;
        let pending = pending.map_err(|(cause, _)| transport_error("send", address, cause))?;
        let reply = pending
            .await
            .map_err(|cause| transport_error("receive", address, cause))?;
        let reply = self.codec.decode(reply.as_slice())?;
        self.check(&frame, &reply)?;
        self.ring.observe(reply.stamp);
        self.lock()
            .incarnations
            .insert(Arc::from(address), reply.incarnation);
        Ok(reply)
    }

    fn check(&self, request: &Frame, reply: &Frame) -> Result<(), Error> {
        let why = if reply.fleet != self.identity.fleet {
            "the reply is from another fleet"
        } else if reply.id != request.id || reply.to_incarnation != self.identity.incarnation {
            "the reply belongs to another request"
        } else {
            return Ok(());
        };
        Err(Error::Invalid {
            step: "receive",
            why,
        })
    }

    /// Sends a request, and once more if the peer has restarted since the last reply.
    async fn request(&self, address: &str, request: Vec<u8>) -> Result<(Peer, Vec<u8>), Error> {
        let mut reply = self.exchange(address, request.clone()).await?;
        if reply.body == Body::Refused(Refusal::IncarnationMismatch) {
            reply = self.exchange(address, request).await?;
        }
        let peer = Peer {
            name: reply.from,
            incarnation: reply.incarnation,
        };
        match reply.body {
            Body::Reply(bytes) => Ok((peer, bytes)),
            Body::Refused(why) => Err(Error::Refused {
                peer: address.to_owned(),
                why,
            }),
            Body::Request(_) => Err(Error::Invalid {
                step: "receive",
                why: "expected a reply, received a request",
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl Transport for Client {
    async fn call(
        &self,
        address: &str,
        request: Vec<u8>,
        limit: Duration,
    ) -> Result<(Peer, Vec<u8>), Error> {
        match timeout(limit, self.request(address, request)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout {
                peer: address.to_owned(),
            }),
        }
    }
}

fn transport_error(step: &'static str, peer: &str, why: impl ToString) -> Error {
    Error::Transport {
        step,
        peer: peer.to_owned(),
        why: why.to_string(),
    }
}
