//! The event schedule, with messages, network partitions, the table and the instances.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use endpoint::Role;
use group::Failure;
use group::Member;
use group::Policy;
use group::Row;
use group::View;
use group::Votes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use session::Router;

use super::History;
use super::Server;
use super::client::Read;
use super::client::Write;

pub const MS: u64 = 1_000;

/// The node number of the first instance; servers are numbered from 0.
pub const INSTANCES: usize = 3;

/// The node number of the table.
pub const TABLE: usize = 99;

const TICK: u64 = 20 * MS;
const TABLE_POLL: u64 = 100 * MS;

type Event = Box<dyn FnOnce(&mut Simulation)>;

/// A simulated instance.
pub struct Instance {
    pub view: View,
    pub router: Router,
    /// The number of restarts; messages to an earlier life are dropped.
    pub life: u64,
    pub paused_until: u64,
    /// The microseconds by which this machine's clock is ahead of the schedule.
    offset: u64,
    /// The number of the commit in flight.
    pub commit: u64,
    pub votes: Votes,
    pub writes: Vec<Write>,
    pub reads: Vec<Read>,
}

/// The simulated fleet and its schedule, in microseconds.
pub struct Simulation {
    pub rng: ChaCha8Rng,
    pub now: u64,
    policy: Policy,
    pub servers: Vec<Server>,
    pub instances: Vec<Instance>,
    pub history: History,
    pub table_up: bool,
    pub row: (Row, u64),
    pub registered: BTreeSet<Arc<str>>,
    /// The active partitions, each a set of node pairs that cannot communicate, lower node first.
    pub partitions: BTreeMap<u64, BTreeSet<(usize, usize)>>,
    /// The percentage of the table's responses that are lost.
    loss: u32,
    /// The time after which no fault begins.
    pub faulty_until: u64,
    pub next_id: u64,
    /// The maximum time between two client requests.
    pub client_gap: u64,
    /// The maximum time between two replication steps of a server.
    replication_gap: u64,
    queue: BTreeMap<(u64, u64), Event>,
    queued: u64,
}

pub fn endpoint(index: usize) -> Arc<str> {
    Arc::from(format!("e{index}"))
}

pub fn name(index: usize) -> Arc<str> {
    Arc::from(format!("i{index}"))
}

pub fn index(name: &str) -> usize {
    name[1..].parse().expect("names end in a number")
}

fn zone(index: usize) -> Arc<str> {
    Arc::from(format!("z{}", index % 3))
}

impl Simulation {
    pub fn new(seed: u64, policy: Policy) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(3..=6) + 2 * usize::from(rng.random_ratio(1, 8));
        let roles = [Role::Primary, Role::Replica, Role::Replica];
        let mut simulation = Self {
            now: 0,
            policy,
            servers: roles.into_iter().map(Server::new).collect(),
            instances: Vec::new(),
            history: History::new(4),
            table_up: true,
            row: (Row::first(1, endpoint(0)), 1),
            registered: BTreeSet::new(),
            partitions: BTreeMap::new(),
            loss: rng.random_range(0..25),
            faulty_until: u64::MAX,
            next_id: 1,
            client_gap: rng.random_range(10..60) * MS,
            replication_gap: rng.random_range(3..40) * MS,
            queue: BTreeMap::new(),
            queued: 0,
            rng,
        };
        for index in 0..count {
            simulation.start(index, 0);
        }
        for server in 0..simulation.servers.len() {
            simulation.after(0, move |w| w.replicate(server));
        }
        simulation
    }

    /// Starts an instance, or restarts it with a new life.
    pub fn start(&mut self, index: usize, life: u64) {
        let offset = self.rng.random_range(1..3_600) * 1_000 * MS;
        let now = Time::from_micros(self.now + offset);
        let member = |server| Member {
            endpoint: endpoint(server),
            zone: zone(server),
        };
        let members = (0..3).map(member).collect();
        let policy = self.policy.clone();
        let instance = Instance {
            view: View::open(now, name(index), Arc::from("orders"), members, policy),
            router: Router::open(
                zone(index),
                Span::from_millis(60),
                self.policy.poll_interval,
            ),
            life,
            paused_until: 0,
            offset,
            commit: 0,
            votes: Votes::default(),
            writes: Vec::new(),
            reads: Vec::new(),
        };
        self.instances.truncate(self.instances.len().max(index));
        match self.instances.get_mut(index) {
            Some(earlier) => *earlier = instance,
            None => self.instances.push(instance),
        }
        self.register(index);
        let phase = self.rng.random_range(0..20 * MS);
        self.every(phase, TICK, index, life, |_, _| {});
        let poll = self.policy.poll_interval.as_micros();
        self.every(phase, poll, index, life, Self::query_all);
        self.every(phase, TABLE_POLL, index, life, Self::read_row);
    }

    /// Runs until the given time or the first violation.
    pub fn run_until(&mut self, end: u64) {
        while self.history.violation.is_none() {
            let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) else {
                return;
            };
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            event(self);
        }
    }

    pub fn after(&mut self, delay: u64, event: impl FnOnce(&mut Self) + 'static) {
        self.queued += 1;
        let key = (self.now + delay, self.queued);
        self.queue.insert(key, Box::new(event));
    }

    /// Runs an input at an instance of that life as soon as it is not paused, then ticks its view.
    pub fn input(&mut self, to: usize, life: u64, input: impl FnOnce(&mut Self) + 'static) {
        let instance = &self.instances[to];
        if instance.life != life {
            return;
        }
        if instance.paused_until > self.now {
            let delay = instance.paused_until - self.now;
            self.after(delay, move |w| w.input(to, life, input));
            return;
        }
        input(self);
        let (view, now) = self.view(to);
        for action in view.tick(now) {
            self.perform(to, action);
        }
        self.serve(to);
    }

    fn every(&mut self, delay: u64, period: u64, to: usize, life: u64, work: fn(&mut Self, usize)) {
        self.after(delay, move |w| {
            w.input(to, life, move |w| {
                work(w, to);
                w.every(period, period, to, life, work);
            });
        });
    }

    /// Sends an event from one node to another; some are delayed, and a few delayed a lot.
    fn send(&mut self, from: usize, to: usize, event: impl FnOnce(&mut Self) + 'static) {
        let pair = (from.min(to), from.max(to));
        if self.partitions.values().any(|pairs| pairs.contains(&pair)) {
            return;
        }
        let most = match self.rng.random_range(0..100) {
            0 => 700 * MS,
            1..10 => 60 * MS,
            _ => 5 * MS,
        };
        let slow = self.servers.get(from).map_or(0, |server| server.slow);
        let latency = self.rng.random_range(MS / 2..most) + slow;
        self.after(latency, event);
    }

    /// Sends a request of an instance to a server; `work` runs there if it is up and returns the
    /// response.
    pub fn call_server<T: 'static>(
        &mut self,
        from: usize,
        server: usize,
        work: impl FnOnce(&mut Self) -> Option<T> + 'static,
        done: impl FnOnce(&mut Self, T) + 'static,
    ) {
        let life = self.instances[from].life;
        self.send(INSTANCES + from, server, move |w| {
            if !w.servers[server].up {
                w.send(server, INSTANCES + from, move |w| {
                    w.input(from, life, move |w| {
                        let (view, now) = w.view(from);
                        view.on_status_failed(now, &endpoint(server), Failure::Refused);
                    });
                });
            } else if let Some(answer) = work(w) {
                let done = move |w: &mut Self| w.input(from, life, move |w| done(w, answer));
                w.send(server, INSTANCES + from, done);
            }
        });
    }

    /// Sends a request of an instance to the table; the response may be lost.
    pub fn call_table<T: 'static>(
        &mut self,
        from: usize,
        work: impl FnOnce(&mut Self) -> T + 'static,
        done: impl FnOnce(&mut Self, T) + 'static,
    ) {
        let life = self.instances[from].life;
        self.send(INSTANCES + from, TABLE, move |w| {
            if !w.table_up {
                return;
            }
            let answer = work(w);
            if w.rng.random_range(0..100) >= w.loss {
                let done = move |w: &mut Self| w.input(from, life, move |w| done(w, answer));
                w.send(TABLE, INSTANCES + from, done);
            }
        });
    }

    /// Sends a message from one instance to another.
    pub fn send_to_peer(
        &mut self,
        from: usize,
        to: usize,
        input: impl FnOnce(&mut Self) + 'static,
    ) {
        let life = self.instances[to].life;
        let event = move |w: &mut Self| w.input(to, life, input);
        self.send(INSTANCES + from, INSTANCES + to, event);
    }

    /// Returns an instance's view and the time on its clock.
    pub fn view(&mut self, of: usize) -> (&mut View, Time) {
        let now = self.local(of, self.now);
        (&mut self.instances[of].view, now)
    }

    /// Converts a time of the schedule to an instance's clock.
    pub fn local(&self, of: usize, at: u64) -> Time {
        Time::from_micros(at + self.instances[of].offset)
    }

    fn replicate(&mut self, follower: usize) {
        let own = &self.servers[follower];
        let floor = own.term() + u64::from(own.role == Role::Primary);
        let is_blocked = |leader: usize| {
            let pair = (leader.min(follower), leader.max(follower));
            self.partitions.values().any(|pairs| pairs.contains(&pair))
        };
        let leader = (0..self.servers.len())
            .filter(|leader| *leader != follower && !is_blocked(*leader))
            .filter(|leader| own.up && self.servers[*leader].up)
            .filter(|leader| self.servers[*leader].role == Role::Primary)
            .filter(|leader| self.servers[*leader].term() >= floor)
            .max_by_key(|leader| self.servers[*leader].term());
        if let Some(leader) = leader {
            let log = std::mem::take(&mut self.servers[leader].log);
            self.servers[follower].follow(&log);
            self.servers[leader].log = log;
        }
        let gap = self.rng.random_range(MS..self.replication_gap);
        self.after(gap, move |w| w.replicate(follower));
    }
}
