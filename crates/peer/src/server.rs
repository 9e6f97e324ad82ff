//! The receiving side.

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
use crate::Error;
use crate::Frame;
use crate::Handler;
use crate::Identity;
use crate::Peer;
use crate::Refusal;
use crate::Seal;
use crate::Window;
use crate::frame::VERSION;

/// Requests that are handled at once.
const WORKERS: usize = 32;

/// A listening socket and its workers; they end when it is dropped.
pub struct Server {
    _workers: JoinSet<()>,
}

/// What the workers share.
struct Desk {
    identity: Identity,
    seal: Seal,
    ring: Arc<Ring>,
    window: Mutex<Window>,
    handler: Arc<dyn Handler>,
}

impl Server {
    /// Binds the address and starts to handle requests.
    pub async fn bind(
        address: &str,
        identity: Identity,
        secret: &[u8],
        ring: Arc<Ring>,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, Error> {
        let failed = |why: String| Error::Transport {
            step: "listen",
            peer: address.to_owned(),
            why,
        };
        let url = CString::new(format!("tcp://{address}"))
            .map_err(|_| failed("the address is malformed".to_owned()))?;
        let socket = Rep0::listen(url)
            .await
            .map_err(|cause| failed(cause.to_string()))?;
        let socket = Arc::new(socket);
        let desk = Arc::new(Desk {
            identity,
            seal: Seal::open(secret),
            ring,
            window: Mutex::default(),
            handler,
        });
        let mut workers = JoinSet::new();
        for _ in 0..WORKERS {
            workers.spawn(work(Arc::clone(&socket), Arc::clone(&desk)));
        }
        Ok(Self { _workers: workers })
    }
}

async fn work(socket: Arc<Socket<Rep0>>, desk: Arc<Desk>) {
    let mut context = socket.context();
    loop {
        let (message, responder) = match context.receive().await {
            Ok(received) => received,
            Err(cause) => {
                log::warn!("step=receive error={cause:?}");
                tokio::task::yield_now().await;
                continue;
            }
        };
        // Without a reply the sender's request times out.
        let Some(bytes) = desk.answer(message.as_slice()).await else {
            continue;
        };
        let mut reply = Message::with_capacity(bytes.len());
        if reply.write_all(&bytes).is_err() {
            continue;
        }
        if let Err((_, cause, _)) = responder.reply(reply).await {
            log::debug!("step=reply error={cause:?}");
        }
    }
}

impl Desk {
    async fn answer(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        let frame = match self.seal.unseal(bytes) {
            Ok(frame) => frame,
            Err(error) => {
                self.refuse_input(&error.to_string());
                return None;
            }
        };
        if frame.fleet != self.identity.fleet {
            self.refuse_input("the message came from another fleet");
            return None;
        }
        self.ring.observe(frame.stamp);
        let id = frame.id;
        let sender = frame.incarnation;
        let body = self.handle(frame).await;
        let reply = Frame {
            version: VERSION,
            fleet: Arc::clone(&self.identity.fleet),
            from: Arc::clone(&self.identity.name),
            incarnation: self.identity.incarnation,
            to_incarnation: sender,
            id,
            stamp: self.ring.stamp(),
            body,
        };
        self.seal.seal(&reply).ok()
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
        let caller = Peer {
            name: frame.from,
            incarnation: frame.incarnation,
        };
        match self.handler.handle(caller, request).await {
            Some(reply) => Body::Reply(reply),
            None => Body::Refused(Refusal::Malformed),
        }
    }

    fn accept(&self, from: &Arc<str>, incarnation: u64, id: u64) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        window.accept(from, incarnation, id)
    }

    fn refuse_input(&self, why: &str) {
        self.ring
            .record(event(Kind::Input, "refused-peer-message").with("why", why));
    }
}
