//! An in-memory group of three servers with synchronous replication.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::time::Duration;

use async_trait::async_trait;
use endpoint::Position;
use relay::Error;
use relay::external::Order;
use relay::external::Outcome;
use relay::external::Promoter;
use relay::external::Validity;
use relay::message::Definition;
use tokio::time::Instant;

use super::Stall;

/// The group's name.
pub const GROUP: &str = "huvo";
/// The duration of a promotion.
const PROMOTION_TIME: Duration = Duration::from_millis(300);

/// A statement that a server ran for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The instance that sent it.
    pub instance: Arc<str>,
    pub server: Arc<str>,
    pub account: Arc<str>,
    pub id: Arc<str>,
    pub values: BTreeMap<Arc<str>, Arc<str>>,
    /// The definition of a prepared statement.
    pub definition: Option<Definition>,
    /// When it ran.
    pub at: Instant,
}

/// One server.
#[derive(Clone, Debug, Default)]
pub(super) struct Server {
    pub(super) log: Vec<(Position, String, String)>,
    /// The number of applied records, which reads see.
    pub(super) applied: usize,
    pub(super) paused: u64,
    /// Receives no log records, as if partitioned from the primary.
    pub(super) is_isolated: bool,
    /// Does not apply the records that it receives.
    pub(super) is_lagging: bool,
    pub(super) is_down: bool,
    /// Accepts requests and answers none.
    pub(super) is_silent: bool,
    /// Was replaced as primary but goes on as one, on its own log.
    pub(super) is_deposed: bool,
    pub(super) connections: usize,
}

impl Server {
    fn received(&self) -> Position {
        let first = Position { term: 1, offset: 0 };
        self.log.last().map_or(first, |record| record.0)
    }

    pub(super) fn applied(&self) -> Position {
        let first = Position { term: 1, offset: 0 };
        let last = self.applied.checked_sub(1);
        last.map_or(first, |last| self.log[last].0)
    }

    pub(super) fn value(&self, item: &str) -> String {
        let applied = &self.log[..self.applied];
        let found = applied.iter().rev().find(|(_, key, _)| key == item);
        found.map_or_else(|| "none".to_owned(), |(_, _, data)| data.clone())
    }
}

/// The state of the group.
#[derive(Default)]
pub(super) struct Inner {
    pub(super) servers: BTreeMap<Arc<str>, Server>,
    pub(super) leader: Option<Arc<str>>,
    /// The primary that crashed, as long as no other server was promoted.
    pub(super) crashed_primary: Option<Arc<str>>,
    pub(super) term: u64,
    /// The highest fencing token of a promotion order.
    pub(super) token: u64,
    pub(super) orders: Vec<Order>,
    /// The acknowledged records.
    pub(super) acknowledged: Vec<(Position, String, String)>,
    /// The number of acknowledged records that a new leader lacked.
    pub(super) lost: usize,
    pub(super) runs: Vec<Run>,
    /// When read-only transactions were rolled back, which probes never open.
    pub(super) rollbacks: Vec<Instant>,
    /// Whether the reply to the next statement of a caller is lost after it ran.
    pub(super) loses_answer: bool,
    /// Whether the reply to the next statement of a caller lacks the position.
    pub(super) omits_position: bool,
    /// The server that leads after a caller's next statement, and a write that it then commits.
    pub(super) takeover: Option<(Arc<str>, String, String)>,
    /// The number of SET statements that succeed before one is refused.
    pub(super) sets_left: Option<usize>,
    /// Whether a replaced primary goes on as one until it is demoted.
    pub(super) keeps_deposed: bool,
    /// How late promotion orders are executed, which then have no answer.
    pub(super) order_delay: Option<Duration>,
    /// Whether promotion orders have no effect and no answer.
    pub(super) loses_orders: bool,
    /// The instances that have begun a transaction of their own.
    pub(super) probers: BTreeSet<Arc<str>>,
    /// The servers from which an instance is cut off, by instance.
    pub(super) cuts: BTreeSet<(Arc<str>, Arc<str>)>,
    /// What is held up between an instance and a server.
    pub(super) stalls: BTreeMap<(Arc<str>, Arc<str>), Stall>,
    /// How much later the replies to an instance's transactions arrive.
    pub(super) delays: BTreeMap<Arc<str>, Duration>,
}

/// A group of three servers.
pub struct Group {
    inner: Mutex<Inner>,
    /// The group itself, for tasks that outlive a call.
    this: Weak<Self>,
}

impl Group {
    /// Opens a group whose leader is `a`.
    pub fn open() -> Arc<Self> {
        let group = Arc::new_cyclic(|this| Self {
            inner: Mutex::default(),
            this: Weak::clone(this),
        });
        {
            let mut inner = group.lock();
            inner.term = 1;
            inner.leader = Some(Arc::from("a"));
            for name in ["a", "b", "c"] {
                inner.servers.insert(Arc::from(name), Server::default());
            }
        }
        group
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no test panics with the lock")
    }

    pub(super) fn change(&self, name: &str, change: impl FnOnce(&mut Server)) {
        change(self.lock().servers.get_mut(name).expect("a server"));
    }

    /// Crashes a server, which breaks its connections.
    pub fn crash(&self, name: &str) {
        self.change(name, |server| server.is_down = true);
        let mut inner = self.lock();
        if inner.leader.as_deref() == Some(name) {
            inner.crashed_primary = inner.leader.take();
        }
    }

    /// Sets whether a server accepts requests without answering.
    pub fn set_silent(&self, name: &str, is_silent: bool) {
        self.change(name, |server| server.is_silent = is_silent);
    }

    /// Makes a replaced primary go on as one until it is demoted.
    pub fn keep_deposed_primaries(&self) {
        self.lock().keeps_deposed = true;
    }

    /// Makes replaced primaries stop acting as such, as they do once they reach their successors.
    pub fn end_deposed(&self) {
        let mut inner = self.lock();
        for server in inner.servers.values_mut() {
            server.is_deposed = false;
        }
    }

    /// Executes further promotion orders after `delay` without an answer; `None` ends that.
    pub fn delay_orders(&self, delay: Option<Duration>) {
        self.lock().order_delay = delay;
    }

    /// Loses all further promotion orders.
    pub fn lose_orders(&self) {
        self.lock().loses_orders = true;
    }

    /// Cuts an instance off from a server.
    pub fn cut(&self, instance: &str, server: &str) {
        let cut = (Arc::from(instance), Arc::from(server));
        self.lock().cuts.insert(cut);
    }

    /// Ends all cuts of an instance.
    pub fn heal(&self, instance: &str) {
        self.lock().cuts.retain(|(cut, _)| **cut != *instance);
    }

    /// Starts a crashed server with its log; it leads again if it did and no other server was promoted.
    pub fn restart(&self, name: &str) {
        let mut inner = self.lock();
        let server = inner.server(name);
        if !std::mem::take(&mut server.is_down) {
            return;
        }
        server.paused = 0;
        let was_primary = inner.crashed_primary.take_if(|crashed| **crashed == *name);
        if inner.leader.is_none() {
            inner.leader = was_primary;
        }
    }

    /// Sets whether a replica is partitioned from the primary.
    pub fn isolate(&self, name: &str, is_isolated: bool) {
        self.change(name, |server| server.is_isolated = is_isolated);
    }

    /// Sets whether a replica applies the records that it receives.
    pub fn set_lagging(&self, name: &str, is_lagging: bool) {
        self.change(name, |server| server.is_lagging = is_lagging);
    }

    /// Loses the reply to the next statement of a caller after it ran.
    pub fn lose_answer(&self) {
        self.lock().loses_answer = true;
    }

    /// Omits the position from the reply to the next statement of a caller.
    pub fn omit_position(&self) {
        self.lock().omits_position = true;
    }

    /// Makes another server the leader right after a caller's next statement and commits a write
    /// there.
    pub fn depose_after_next(&self, chosen: &str, item: &str, data: &str) {
        let write = (Arc::from(chosen), item.to_owned(), data.to_owned());
        self.lock().takeover = Some(write);
    }

    /// Refuses one SET statement after `sets` more have succeeded.
    pub fn refuse_set_after(&self, sets: usize) {
        self.lock().sets_left = Some(sets);
    }

    /// Adds a server that holds all of the leader's log.
    pub fn join(&self, name: &str) {
        let mut inner = self.lock();
        let leader = inner.leader.clone().expect("a leader");
        let log = inner.servers[&leader].log.clone();
        let applied = log.len();
        let server = Server {
            log,
            applied,
            ..Server::default()
        };
        inner.servers.insert(Arc::from(name), server);
    }

    /// Stops a replica from receiving the log, as a failover does.
    pub fn pause(&self, name: &str, term: u64) {
        self.change(name, |server| server.paused = term);
    }

    /// Lets a replica receive the log again, as its restart does.
    pub fn resume(&self, name: &str) {
        self.change(name, |server| server.paused = 0);
    }

    /// Returns the leader.
    pub fn leader(&self) -> Option<Arc<str>> {
        self.lock().leader.clone()
    }

    /// Returns the statements that ran for callers.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns when read-only transactions were rolled back.
    pub fn rollbacks(&self) -> Vec<Instant> {
        self.lock().rollbacks.clone()
    }

    /// Returns and forgets the instances that have probed a server.
    pub fn take_probers(&self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut self.lock().probers)
    }

    /// Returns the promotion orders received.
    pub fn orders(&self) -> Vec<Order> {
        self.lock().orders.clone()
    }

    /// Returns the number of writes of an item in the leader's log.
    pub fn writes(&self, item: &str) -> usize {
        let inner = self.lock();
        let leader = inner.leader.clone().expect("a leader");
        let log = &inner.servers[&leader].log;
        log.iter().filter(|(_, key, _)| key == item).count()
    }

    /// Returns the number of acknowledged records that a new leader lacked.
    pub fn lost(&self) -> usize {
        self.lock().lost
    }

    /// Returns the names of the paused servers.
    pub fn paused(&self) -> Vec<Arc<str>> {
        let inner = self.lock();
        let paused = inner.servers.iter().filter(|(_, server)| server.paused > 0);
        paused.map(|(name, _)| Arc::clone(name)).collect()
    }
}

impl Inner {
    /// Returns whether a server acts as primary.
    pub(super) fn leads(&self, name: &Arc<str>) -> bool {
        self.leader.as_ref() == Some(name) || self.servers[name].is_deposed
    }

    pub(super) fn is_cut(&self, instance: &Arc<str>, server: &Arc<str>) -> bool {
        let cut = (Arc::clone(instance), Arc::clone(server));
        self.cuts.contains(&cut)
    }

    pub(super) fn server(&mut self, name: &str) -> &mut Server {
        self.servers.get_mut(name).expect("a server")
    }

    /// Appends records at the leader; returns false if no replica received them.
    pub(super) fn commit(&mut self, writes: &[(String, String)]) -> bool {
        let Some(leader) = self.leader.clone() else {
            return false;
        };
        let term = self.term;
        let head = self.servers.get_mut(&leader).expect("a server");
        for (item, data) in writes {
            let offset = head.received().offset + 1;
            let record = (Position { term, offset }, item.clone(), data.clone());
            head.log.push(record);
        }
        head.applied = head.log.len();
        let log = head.log.clone();
        let committed = log[log.len() - writes.len()..].to_vec();
        let mut holders = 0;
        for (name, server) in &mut self.servers {
            let receives = !server.is_down && !server.is_isolated && server.paused == 0;
            if *name == leader || server.is_deposed || !receives {
                continue;
            }
            server.log = log.clone();
            holders += 1;
            if !server.is_lagging {
                server.applied = server.log.len();
            }
        }
        if holders > 0 {
            self.acknowledged.extend(committed);
        }
        holders > 0
    }

    pub(super) fn status(&self, name: &Arc<str>) -> String {
        let server = &self.servers[name];
        let role = match self.leads(name) {
            true => "primary",
            false => "replica",
        };
        let received = server.received();
        let (term, offset) = (received.term, received.offset);
        format!("{role} {} {term}.{offset} {}", self.term, server.paused)
    }
}

#[async_trait]
impl Promoter for Group {
    async fn promote(&self, order: &Order, validity: &dyn Validity) -> Result<Outcome, Error> {
        if !validity.may_send() {
            return Ok(Outcome::Unsent);
        }
        let unanswered = Err(Error::Broken {
            step: "promote",
            peer: order.server.to_string(),
            why: "no answer".to_owned(),
        });
        let delay;
        {
            let mut inner = self.lock();
            inner.orders.push(order.clone());
            if inner.loses_orders {
                return unanswered;
            }
            delay = inner.order_delay;
            if order.token < inner.token || inner.servers[&order.server].is_down {
                return Ok(Outcome::Rejected);
            }
            inner.token = order.token;
        }
        // The order is accepted now and executed later, even for a server that was the leader
        // when the order arrived and has been replaced since.
        let group = self.this.upgrade().expect("the group is in use");
        let server = Arc::clone(&order.server);
        tokio::spawn(async move {
            tokio::time::sleep(delay.unwrap_or(PROMOTION_TIME)).await;
            group.make_leader(&server);
        });
        match delay {
            Some(_) => unanswered,
            None => Ok(Outcome::Done),
        }
    }
}

impl Group {
    /// Makes another server the leader without telling the instances.
    pub fn set_leader(&self, chosen: &str) {
        self.make_leader(&Arc::from(chosen));
    }

    /// Executes `depose_after_next`.
    pub(super) fn depose(&self) {
        let Some((chosen, item, data)) = self.lock().takeover.take() else {
            return;
        };
        self.make_leader(&chosen);
        self.lock().commit(&[(item, data)]);
    }

    /// Makes a server the leader with the records that it has received.
    fn make_leader(&self, chosen: &Arc<str>) {
        let mut inner = self.lock();
        if inner.leader.as_ref() == Some(chosen) {
            return;
        }
        inner.term += 1;
        inner.crashed_primary = None;
        let former = inner.leader.replace(Arc::clone(chosen));
        let keeps_deposed = inner.keeps_deposed;
        if let Some(former) = former.filter(|_| keeps_deposed) {
            inner.server(&former).is_deposed = true;
        }
        inner.server(chosen).is_deposed = false;
        let head = inner.servers.get_mut(chosen).expect("a server");
        head.paused = 0;
        head.applied = head.log.len();
        let log = head.log.clone();
        let missing = inner.acknowledged.iter();
        let missing = missing.filter(|record| !log.contains(record)).count();
        inner.lost += missing;
        for server in inner.servers.values_mut() {
            if server.is_deposed {
                continue;
            }
            let common = server.log.len().min(log.len());
            server.log.truncate(common);
            server.applied = server.applied.min(common);
        }
    }
}
