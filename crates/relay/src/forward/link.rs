//! The connection on which this instance forwards statements to one peer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Error;
use crate::forward::Loss;
use crate::forward::Next;
use crate::forward::Peer;
use crate::forward::channel;
use crate::forward::channel::Side;
use crate::forward::message::Call;
use crate::forward::message::Decline;
use crate::forward::message::Message;
use crate::message::Reply;
use crate::node::Node;
use crate::node::lock;

/// Maximum number of statements in flight.
const IN_FLIGHT_MAX: usize = 256;
/// The interval of pings while an answer is outstanding; three fit into the time after which a
/// silent peer is left out.
const PING_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for connecting and for sending one message.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before a connection is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);

/// How the wait for a reply ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The peer answered.
    Answer(Result<Reply, Decline>),
    /// There is no answer.
    Lost(Loss),
}

/// A statement in flight.
struct Flight {
    /// The statement; `None` once it may have been sent.
    call: Option<Box<Call>>,
    rows: Vec<Arc<str>>,
    ended: oneshot::Sender<Ending>,
}

#[derive(Default)]
struct Flights {
    is_connected: bool,
    next: u64,
    by_id: BTreeMap<u64, Flight>,
}

/// The connection on which this instance forwards statements to one peer.
pub struct Link {
    name: Arc<str>,
    address: SocketAddr,
    flights: Mutex<Flights>,
    queue: mpsc::Sender<u64>,
}

/// A statement in flight; dropping it gives up the reply.
pub struct Ticket {
    link: Arc<Link>,
    id: u64,
    /// Receives the ending.
    pub ended: oneshot::Receiver<Ending>,
}

impl Ticket {
    /// Ends the wait with `loss` if that means the end for the statement, and returns the ending.
    ///
    /// A statement that is not sent yet never will be.
    pub fn give_up(&mut self, loss: Loss, is_write: bool) -> Option<Ending> {
        let mut flights = lock(&self.link.flights);
        let Some(flight) = flights.by_id.get(&self.id) else {
            return self.ended.try_recv().ok();
        };
        let loss = match flight.call {
            Some(_) => Loss::Unsent,
            None => loss,
        };
        if loss.next(is_write) == Next::Wait {
            return None;
        }
        flights.by_id.remove(&self.id);
        Some(Ending::Lost(loss))
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        lock(&self.link.flights).by_id.remove(&self.id);
    }
}

impl Link {
    /// Opens a link that isn't connected, with the queue that `run` takes.
    pub fn open(name: &Arc<str>, address: SocketAddr) -> (Arc<Self>, mpsc::Receiver<u64>) {
        let (queue, queued) = mpsc::channel(IN_FLIGHT_MAX);
        let link = Self {
            name: Arc::clone(name),
            address,
            flights: Mutex::default(),
            queue,
        };
        (Arc::new(link), queued)
    }

    /// Queues a statement; `None` if there is no connection or too much is in flight.
    pub fn submit(self: &Arc<Self>, call: Call) -> Option<Ticket> {
        let mut flights = lock(&self.flights);
        if !flights.is_connected || flights.by_id.len() >= IN_FLIGHT_MAX {
            return None;
        }
        let id = flights.next;
        flights.next += 1;
        self.queue.try_send(id).ok()?;
        let (sender, ended) = oneshot::channel();
        let flight = Flight {
            call: Some(Box::new(call)),
            rows: Vec::new(),
            ended: sender,
        };
        flights.by_id.insert(id, flight);
        Some(Ticket {
            link: Arc::clone(self),
            id,
            ended,
        })
    }

    /// Keeps the connection until the peer is no longer a member and nothing is in flight.
    pub async fn run(self: Arc<Self>, node: Arc<Node>, mut queued: mpsc::Receiver<u64>) {
        let mut has_logged = false;
        while self.is_needed(&node) {
            // Also ends the flights if the task is aborted.
            let guard = Guard {
                link: &self,
                node: &node,
            };
            let ended = self.connect_and_drive(&node, &mut queued).await;
            let is_lost = lock(&self.flights).is_connected;
            drop(guard);
            if let Err(error) = ended
                && (is_lost || !has_logged)
            {
                has_logged = true;
                log::info!(
                    "event=forward-peer-lost member={} address={} why=\"{error}\"",
                    self.name,
                    self.address
                );
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    fn change(&self, node: &Node, change: impl FnOnce(&mut Peer)) {
        lock(&node.forwarder.router).change(&self.name, self.address, change);
    }

    fn is_needed(&self, node: &Node) -> bool {
        let router = lock(&node.forwarder.router);
        let peer = router.peer(&self.name);
        peer.is_some_and(|peer| peer.address == self.address)
            || !lock(&self.flights).by_id.is_empty()
    }

    async fn connect_and_drive(
        &self,
        node: &Arc<Node>,
        queued: &mut mpsc::Receiver<u64>,
    ) -> Result<(), Error> {
        let Some(secret) = node.forwarder.secret() else {
            return Ok(());
        };
        let connected = timeout(STEP_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = connected
            .map_err(|_| self.timed_out("connect"))?
            .map_err(|cause| Error::Broken {
                step: "connect",
                peer: self.name.to_string(),
                why: cause.to_string(),
            })?;
        let own = &node.options.name;
        let (mut sender, mut receiver, _) =
            channel::open(stream, Side::Origin, &secret, own, Some(&self.name)).await?;
        // Only a peer that knows the secret answers.
        self.send(&mut sender, &Message::Ping).await?;
        let first = timeout(STEP_TIMEOUT, receiver.receive()).await;
        first.map_err(|_| self.timed_out("greet"))??;
        lock(&self.flights).is_connected = true;
        self.change(node, Peer::on_connected);
        log::info!(
            "event=forward-peer-known member={} address={}",
            self.name,
            self.address
        );
        let mut pings = interval(PING_INTERVAL);
        pings.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                received = receiver.receive() => {
                    let message = received?;
                    self.change(node, Peer::on_heard);
                    self.on_message(message);
                }
                Some(id) = queued.recv() => {
                    let call = {
                        let mut flights = lock(&self.flights);
                        let flight = flights.by_id.get_mut(&id);
                        flight.and_then(|flight| flight.call.take())
                    };
                    if let Some(call) = call {
                        self.change(node, |peer| peer.on_sent(node.now()));
                        self.send(&mut sender, &Message::Call { id, call }).await?;
                    }
                }
                _ = pings.tick() => {
                    let (is_awaited, is_lost) = {
                        let router = lock(&node.forwarder.router);
                        let peer = router.peer(&self.name);
                        let peer = peer.filter(|peer| peer.address == self.address);
                        (
                            peer.is_some_and(Peer::is_awaited),
                            peer.is_some_and(|peer| peer.is_lost(node.now())),
                        )
                    };
                    if is_lost {
                        return Err(self.timed_out("wait for a message"));
                    }
                    if !self.is_needed(node) {
                        return Ok(());
                    }
                    if is_awaited || !lock(&self.flights).by_id.is_empty() {
                        self.change(node, |peer| peer.on_sent(node.now()));
                        self.send(&mut sender, &Message::Ping).await?;
                    }
                }
            }
        }
    }

    async fn send(&self, sender: &mut channel::Sender, message: &Message) -> Result<(), Error> {
        let sent = timeout(STEP_TIMEOUT, sender.send(message)).await;
        sent.map_err(|_| self.timed_out("send a message"))?
    }

    fn on_message(&self, message: Message) {
        let mut flights = lock(&self.flights);
        match message {
            Message::Rows { id, rows } => {
                if let Some(flight) = flights.by_id.get_mut(&id) {
                    flight.rows.extend(rows);
                }
            }
            Message::End { id, end } => {
                if let Some(flight) = flights.by_id.remove(&id) {
                    let answer = end.into_reply(flight.rows);
                    // The statement may have been given up meanwhile.
                    let _given_up = flight.ended.send(Ending::Answer(answer));
                }
            }
            Message::Ping | Message::Pong | Message::Call { .. } => {}
        }
    }

    fn timed_out(&self, step: &'static str) -> Error {
        Error::Timeout {
            step,
            peer: self.name.to_string(),
        }
    }
}

/// Ends all flights when the connection ends.
struct Guard<'a> {
    link: &'a Link,
    node: &'a Node,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.link.change(self.node, Peer::on_disconnected);
        let flights = {
            let mut flights = lock(&self.link.flights);
            flights.is_connected = false;
            std::mem::take(&mut flights.by_id)
        };
        for flight in flights.into_values() {
            let loss = match flight.call {
                Some(_) => Loss::Unsent,
                None => Loss::Broken,
            };
            // The statement may have been given up meanwhile.
            let _given_up = flight.ended.send(Ending::Lost(loss));
        }
    }
}
