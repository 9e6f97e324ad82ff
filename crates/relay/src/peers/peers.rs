//! Datagrams to and from other instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::Span;
use seal::Authenticator;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::Error;
use crate::group::Group;
use crate::node::Node;
use crate::node::lock;
use crate::peers::Datagram;
use crate::peers::Opinion;
use crate::peers::Payload;
use crate::task;

/// Separates this use of the fleet's secret from others.
const PURPOSE: &[u8] = b"yuccamount relay 1";
/// Bytes of an authentication code; 128 bits can't be guessed.
const CODE_BYTES: usize = 16;
/// The largest datagram; one Ethernet frame holds it.
const DATAGRAM_BYTES: usize = 1_400;
/// Opinions that fit into the queue of one question; a fleet has fewer instances in reach.
const OPINIONS_MAX: usize = 64;
/// A leader counts as seen if it proved itself this recently.
const RECENT: Span = Span::from_millis(500);

/// Datagrams to and from other instances.
///
/// Each may be lost, repeated or late; nothing depends on a single one.
pub struct Peers {
    socket: UdpSocket,
    /// Made with the fleet's secret; until it is known nothing is sent or taken in.
    seal: OnceLock<Authenticator>,
    next: AtomicU64,
    /// Open questions, by number.
    asked: Mutex<BTreeMap<u64, mpsc::Sender<Opinion>>>,
}

impl Peers {
    /// Binds the address at which other instances reach this one.
    pub async fn bind(address: SocketAddr) -> Result<Self, Error> {
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|cause| Error::Setup {
                step: "bind the address for peers",
                why: format!("{address}: {cause}"),
            })?;
        Ok(Self {
            socket,
            seal: OnceLock::new(),
            next: AtomicU64::new(1),
            asked: Mutex::default(),
        })
    }

    /// Takes the fleet's secret.
    pub fn set_secret(&self, secret: &[u8]) {
        self.seal
            .get_or_init(|| Authenticator::open(secret, PURPOSE, CODE_BYTES));
    }

    /// Sends a datagram.
    pub async fn send(&self, node: &Node, address: SocketAddr, payload: Payload) {
        let Some(seal) = self.seal.get() else {
            return;
        };
        let datagram = Datagram {
            from: Arc::clone(&node.options.name),
            payload,
        };
        let mut bytes = match postcard::to_stdvec(&datagram) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("event=datagram-unsent to={address} why=\"{error}\"");
                return;
            }
        };
        seal.append_tag(&mut bytes);
        node.meter.peer_bytes.inc_by(bytes.len() as u64);
        if let Err(error) = self.socket.send_to(&bytes, address).await {
            log::debug!("event=datagram-unsent to={address} why=\"{error}\"");
        }
    }

    /// Asks all live instances how they see a group.
    pub async fn ask(&self, node: &Node, group: &Arc<str>, wait: Duration) -> Vec<Opinion> {
        let addresses = node.peer_addresses();
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, mut receiver) = mpsc::channel(OPINIONS_MAX);
        lock(&self.asked).insert(id, sender);
        for address in addresses.values() {
            let payload = Payload::Ask {
                id,
                group: Arc::clone(group),
            };
            self.send(node, *address, payload).await;
        }
        let deadline = Instant::now() + wait;
        let mut opinions = Vec::new();
        while opinions.len() < addresses.len()
            && let Ok(Some(opinion)) = tokio::time::timeout_at(deadline, receiver.recv()).await
        {
            opinions.push(opinion);
        }
        lock(&self.asked).remove(&id);
        opinions
    }
}

/// Takes in datagrams until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut buffer = [0; DATAGRAM_BYTES];
    loop {
        let (length, address) = match node.peers.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("event=datagram-unread why=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let seal = node.peers.seal.get();
        let Some(payload) = seal.and_then(|seal| seal.verify(&buffer[..length])) else {
            node.journal
                .request(format_args!("event=datagram-refused from={address}"));
            continue;
        };
        match postcard::from_bytes::<Datagram>(payload) {
            Ok(datagram) => take(&node, address, datagram).await,
            Err(error) => log::warn!("event=datagram-unknown from={address} why=\"{error}\""),
        }
    }
}

async fn take(node: &Arc<Node>, address: SocketAddr, datagram: Datagram) {
    match datagram.payload {
        Payload::Rate(message) => {
            let (sends, is_urgent) = {
                let mut ledger = lock(&node.ledger);
                let sends = ledger.on_message(node.now(), &datagram.from, message);
                (sends, ledger.is_urgent())
            };
            node.tokens_came.notify_waiters();
            if is_urgent {
                node.ledger_due.notify_one();
            }
            for send in sends {
                node.peers
                    .send(node, address, Payload::Rate(send.message))
                    .await;
            }
        }
        Payload::Ask { id, group } => {
            if let Some(group) = node.group(&group) {
                // Only an instance that is about to replace the leader asks.
                lock(&group.recheck).on_replacement(node.now());
                let opinion = opinion(node, &group);
                node.peers
                    .send(node, address, Payload::Opinion { id, opinion })
                    .await;
            }
        }
        Payload::Load(load) => {
            lock(&node.shares).on_report(node.now(), &datagram.from, load);
        }
        Payload::Confirm { id } => {
            lock(&node.confirmations).on_question(node.now(), address, id);
        }
        Payload::Confirmed {
            id,
            revision,
            since_ms,
        } => {
            if lock(&node.confirmations).on_answer(id, revision, since_ms) {
                node.confirmed.notify_one();
            }
        }
        Payload::Leader { group, server } => {
            let Some(group) = node.group(&group) else {
                return;
            };
            if let Some(server) = group.server(&server) {
                let node = Arc::clone(node);
                tokio::spawn(async move { task::leader::ask(&node, &group, &server).await });
            }
        }
        Payload::Opinion { id, opinion } => {
            let sender = lock(&node.peers.asked).get(&id).cloned();
            let is_taken = sender.is_some_and(|sender| sender.try_send(opinion).is_ok());
            if !is_taken {
                log::debug!("event=opinion-late from={}", datagram.from);
            }
        }
    }
}

fn opinion(node: &Node, group: &Group) -> Opinion {
    let leadership = lock(&group.leadership);
    let is_recent = leadership.proven() + RECENT >= node.now();
    Opinion {
        leader: leadership.server().filter(|_| is_recent).cloned(),
        term: leadership.term(),
        acknowledged: leadership.acknowledged(),
        commit_age_ms: node.now().since(leadership.committed()).as_millis(),
    }
}
