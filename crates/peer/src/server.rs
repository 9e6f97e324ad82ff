//! The server side of the transport.

use std::ffi::CString;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use anng::Message;
use anng::Socket;
use anng::protocols::reqrep0::Rep0;
use timeline::Kind;
use timeline::Ring;
use timeline::event;
use tokio::task::JoinSet;

use crate::Body;
use crate::Codec;
use crate::Error;
use crate::Frame;
use crate::Handler;
use crate::Identity;
use crate::Peer;
use crate::Refusal;
use crate::Window;
use crate::frame::VERSION;

/// The number of requests that are handled concurrently.
const WORKERS: usize = 32;

/// A listening socket and its workers, which stop when the server is dropped.
pub struct Server {
    _workers: JoinSet<()>,
}

/// The state shared by the workers.
struct Shared {
    identity: Identity,
    codec: Codec,
    ring: Arc<Ring>,
    window: Mutex<Window>,
    handler: Arc<dyn Handler>,
}

impl Server {
    /// Binds the address and starts handling requests.
    pub async fn bind(
        address: &str,
        identity: Identity,
        secret: &[u8],
        ring: Arc<Ring>,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, Error> {
        let error = |why: String| Error::Transport {
            step: "listen",
            peer: address.to_owned(),
            why,
        };
        let url = CString::new(format!("tcp://{address}"))
            .map_err(|_| error("the address is malformed".to_owned()))?;
        let socket = Rep0::listen(url)
            .await
            .map_err(|cause| error(cause.to_string()))?;
        let socket = Arc::new(socket);
        let shared = Arc::new(Shared {
            identity,
            codec: Codec::open(secret),
            ring,
            window: Mutex::default(),
            handler,
        });
        let mut workers = JoinSet::new();
        for _ in 0..WORKERS {
            workers.spawn(run_worker(Arc::clone(&socket), Arc::clone(&shared)));
        }
        Ok(Self { _workers: workers })
    }
}

async fn run_worker(socket: Arc<Socket<Rep0>>, shared: Arc<Shared>) {
    let mut context = socket.context();
    loop {
        let (message, responder) = match context.receive().await {
            Ok(received) => received,
            Err(cause) => {
                log::warn!("event=peer-receive-failed error={cause:?}");
                tokio::task::yield_now().await;
                continue;
            }
        };
        // Without a reply the sender's request times out.
        let Some(bytes) = shared.respond(message.as_slice()).await else {
            continue;
        };
        let mut reply = Message::with_capacity(bytes.len());
        if reply.write_all(&bytes).is_err() {
            continue;
        }
        if let Err((_, cause, _)) = responder.reply(reply).await {
            log::debug!("event=peer-reply-failed error={cause:?}");
        }
    }
}

impl Shared {
    async fn respond(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        let frame = match self.codec.decode(bytes) {
            Ok(frame) => frame,
            Err(error) => {
                self.record_rejection(&error.to_string());
                return None;
            }
        };
        if frame.fleet != self.identity.fleet {
            self.record_rejection("the message is from another fleet");
            return None;
        }
        self.ring.observe(frame.stamp);
        let id = frame.id;
        let to_incarnation = frame.incarnation;
        let body = self.handle(frame).await;
        let reply = Frame {
            version: VERSION,
            fleet: Arc::clone(&self.identity.fleet),
            from: Arc::clone(&self.identity.name),
            incarnation: self.identity.incarnation,
            to_incarnation,
            id,
            stamp: self.ring.stamp(),
            body,
        };
        self.codec.encode(&reply).ok()
    }

    async fn handle(&self, frame: Frame) -> Body {
        if frame.to_incarnation != self.identity.incarnation {
            return Body::Refused(Refusal::IncarnationMismatch);
        }
        let Body::Request(request) = frame.body else {
            return Body::Refused(Refusal::Malformed);
        };
        if !self.accept(&frame.from, frame.incarnation, frame.id) {
            return Body::Refused(Refusal::Repeated);
        }
        let sender = Peer {
            name: frame.from,
            incarnation: frame.incarnation,
        };
        match self.handler.handle(sender, request).await {
            Some(reply) => Body::Reply(reply),
            None => Body::Refused(Refusal::Malformed),
        }
    }

    fn accept(&self, from: &Arc<str>, incarnation: u64, id: u64) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        window.accept(from, incarnation, id)
    }

    fn record_rejection(&self, why: &str) {
        self.ring
            .record(event(Kind::Input, "refused-peer-message").with("why", why));
    }
}
