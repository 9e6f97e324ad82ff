//! The fair queue in front of one server's connections.

use std::collections::BTreeMap;
use std::ops::Deref;
use std::ops::DerefMut;
use std::sync::Arc;
use std::sync::Mutex;

use account::queue::Class;
use account::queue::Policy;
use account::queue::Scheduler;
use account::queue::Shed;
use account::queue::Ticket;
use clock::Clock;
use clock::Span;
use clock::Time;
use endpoint::Lease;
use tokio::sync::oneshot;

use crate::node::lock;

/// The slot time that a transaction is charged with, as most of it is the client's.
const TRANSACTION_SERVICE: Span = Span::from_millis(2);

/// The queue in front of one server.
pub struct Line {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

struct State {
    scheduler: Scheduler,
    /// Those that wait, by ticket; each ticket of the scheduler is here.
    waiting: BTreeMap<u64, oneshot::Sender<Result<(), Span>>>,
    next: u64,
}

/// The right to use one connection of the server; it ends when dropped.
pub struct Turn {
    line: Arc<Line>,
    account: Arc<str>,
    began: Time,
    is_transaction: bool,
}

/// A connection together with the turn to use it.
pub struct Link {
    // The connection is given back before the turn ends.
    lease: Lease,
    turn: Turn,
}

impl Line {
    /// Opens an empty queue.
    pub fn open(clock: Arc<dyn Clock>) -> Arc<Self> {
        Arc::new(Self {
            clock,
            state: Mutex::new(State {
                scheduler: Scheduler::open(Policy::default()),
                waiting: BTreeMap::new(),
                next: 0,
            }),
        })
    }

    /// Sets how many connections there are, and the accounts' weights.
    pub fn configure(&self, connections: usize, weights: &BTreeMap<Arc<str>, u32>) {
        let most = u32::try_from(connections).unwrap_or(u32::MAX).max(1);
        {
            let scheduler = &mut lock(&self.state).scheduler;
            scheduler.set_max_running(most);
            scheduler.set_weights(weights.clone());
        }
        self.pump();
    }

    /// Waits for a turn; `Err` tells when to come back after the request was given up.
    pub async fn enter(
        self: &Arc<Self>,
        account: &Arc<str>,
        class: Class,
        deadline: Time,
    ) -> Result<Turn, Span> {
        let (sender, receiver) = oneshot::channel();
        {
            let now = self.clock.now();
            let mut state = lock(&self.state);
            state.next += 1;
            let ticket = Ticket {
                id: state.next,
                account: Arc::clone(account),
                class,
                deadline,
            };
            let id = ticket.id;
            state.waiting.insert(id, sender);
            let shed = state.scheduler.push(now, ticket);
            state.give_up(shed);
        }
        self.pump();
        let left: Span = deadline.since(self.clock.now());
        match tokio::time::timeout(left.into(), receiver).await {
            Ok(Ok(Ok(()))) => Ok(Turn {
                line: Arc::clone(self),
                account: Arc::clone(account),
                began: self.clock.now(),
                is_transaction: false,
            }),
            Ok(Ok(Err(retry))) => Err(retry),
            Ok(Err(_)) | Err(_) => Err(Span::from_millis(50)),
        }
    }

    /// Gives free connections to those whose turn it is.
    fn pump(&self) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let shed = state.scheduler.expire(now);
        state.give_up(shed);
        while let Some(ticket) = state.scheduler.pop(now) {
            let sender = state.waiting.remove(&ticket.id);
            let is_taken = sender.is_some_and(|sender| sender.send(Ok(())).is_ok());
            if !is_taken {
                // The client has gone.
                state.scheduler.release(&ticket.account, Span::ZERO);
            }
        }
    }
}

impl State {
    fn give_up(&mut self, shed: Vec<Shed>) {
        for shed in shed {
            if let Some(sender) = self.waiting.remove(&shed.ticket.id) {
                // A client that has gone needs no answer.
                let _gone = sender.send(Err(shed.retry_after));
            }
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let elapsed = self.line.clock.now().since(self.began);
        let service = if self.is_transaction {
            TRANSACTION_SERVICE
        } else {
            elapsed
        };
        lock(&self.line.state)
            .scheduler
            .release(&self.account, service);
        self.line.pump();
    }
}

impl Link {
    /// Joins a connection and the turn to use it.
    pub fn open(lease: Lease, turn: Turn) -> Self {
        Self { lease, turn }
    }

    /// Gives the connection back for reuse, between transactions only.
    pub fn release(self) {
        self.lease.release();
    }

    /// Takes note that the client decides how long the connection is kept.
    pub fn keep(&mut self) {
        self.turn.is_transaction = true;
    }
}

impl Deref for Link {
    type Target = Lease;

    fn deref(&self) -> &Lease {
        &self.lease
    }
}

impl DerefMut for Link {
    fn deref_mut(&mut self) -> &mut Lease {
        &mut self.lease
    }
}
