//! The servers of one group and the platform that promotes them.

use std::net::SocketAddr;
use std::sync::Arc;

use endpoint::Position;
use relay::external::Outcome;
use relay::node::Fencing;

/// The servers, one of which joins later.
pub const SERVERS: usize = 4;
/// The term in which the group starts.
const FIRST_TERM: u64 = 1;

/// Returns a server's name.
pub fn name(server: usize) -> Arc<str> {
    Arc::from(["a", "b", "c", "d"][server])
}

/// Returns a server's index.
pub fn index(name: &str) -> usize {
    ["a", "b", "c", "d"]
        .iter()
        .position(|other| *other == name)
        .expect("the survey names servers of the group")
}

/// Returns a server's address.
pub fn address(server: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], server as u16 + 1))
}

/// One server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Whether it has joined the group.
    pub has_joined: bool,
    /// Whether it runs.
    pub is_up: bool,
    /// Whether it never runs again.
    pub is_gone: bool,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Whether it acts as primary.
    pub is_primary: bool,
    /// The newest term that it knows.
    pub term: u64,
    /// The term of its pause; 0 if it receives.
    pub paused: u64,
    /// The term and the number of each commit that it has received.
    pub log: Vec<(u64, usize)>,
    /// How often it has started without its log.
    pub run: u64,
}

/// What a server is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    Status,
    Pause(u64),
    Resume,
    Demote(u64),
}

/// What a server answers.
#[derive(Clone, Copy, Debug)]
pub struct Status {
    pub is_primary: bool,
    pub term: u64,
    pub paused: u64,
    pub received: Position,
}

impl Server {
    /// Returns the position of the last received commit.
    pub fn received(&self) -> Position {
        Position {
            term: self.log.last().map_or(FIRST_TERM, |last| last.0),
            offset: self.log.len() as u64,
        }
    }

    /// Runs a command.
    pub fn run(&mut self, command: Command) -> Status {
        match command {
            Command::Pause(term) if term > self.term && !self.is_primary => {
                self.paused = self.paused.max(term);
            }
            Command::Demote(term) if term > self.term && self.is_primary => {
                self.is_primary = false;
                self.term = term;
            }
            Command::Resume => self.paused = 0,
            Command::Status | Command::Pause(_) | Command::Demote(_) => {}
        }
        Status {
            is_primary: self.is_primary,
            term: self.term,
            paused: self.paused,
            received: self.received(),
        }
    }
}

/// A request for a promotion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub server: usize,
    /// The instance and its incarnation.
    pub holder: (usize, u64),
    pub token: u64,
}

/// The servers and the platform.
#[derive(Clone, Debug)]
pub struct Cluster {
    pub servers: [Server; SERVERS],
    /// The server that was promoted last.
    pub leader: usize,
    /// The term in which it leads.
    term: u64,
    /// The server at whose address the last one has joined, with its log.
    pub moved: Option<usize>,
    /// The log of `leader` if that has lost it.
    lost: Option<Vec<(u64, usize)>>,
    /// The runs of the servers when a commit was acknowledged last, as far as instances know.
    confirmed_runs: [u64; SERVERS],
    /// The accepted orders that have not taken effect.
    pub orders: Vec<Order>,
    /// The tokens of all orders that reached the platform, with their holders.
    tokens: Vec<(u64, (usize, u64))>,
    /// The rule that an order broke.
    pub broken: Option<&'static str>,
}

impl Cluster {
    /// Starts a group whose first server leads and whose last one has not joined.
    pub fn open() -> Self {
        let server = |index: usize| Server {
            has_joined: index + 1 < SERVERS,
            is_up: index + 1 < SERVERS,
            is_gone: false,
            is_draining: false,
            is_primary: index == 0,
            term: FIRST_TERM,
            paused: 0,
            log: Vec::new(),
            run: 0,
        };
        Self {
            servers: std::array::from_fn(server),
            leader: 0,
            term: FIRST_TERM,
            moved: None,
            lost: None,
            confirmed_runs: [0; SERVERS],
            orders: Vec::new(),
            tokens: Vec::new(),
            broken: None,
        }
    }

    /// Applies an order that reaches the platform. `is_late` is set for one that was sent before.
    pub fn order(&mut self, fencing: Fencing, order: Order, is_late: bool) -> Outcome {
        let newest = self.tokens.iter().map(|(token, _)| *token).max();
        let is_old = newest.is_some_and(|newest| order.token < newest);
        if is_old && fencing == Fencing::Enforced {
            return Outcome::Rejected;
        }
        if is_old && !is_late {
            self.broken = Some("ONE: an order has a lower token than an earlier one");
        }
        let is_shared = self
            .tokens
            .iter()
            .any(|(token, holder)| *token == order.token && *holder != order.holder);
        if is_shared {
            self.broken = Some("ONE: two holders order with one token");
        }
        let entry = (order.token, order.holder);
        if !self.tokens.contains(&entry) {
            self.tokens.push(entry);
        }
        let server = &self.servers[order.server];
        if !server.is_up {
            return Outcome::Rejected;
        }
        let is_leader = self.leader == order.server && server.is_primary;
        if !is_leader && !self.orders.contains(&order) {
            self.orders.push(order);
        }
        Outcome::Done
    }

    /// Lets an accepted order take effect.
    pub fn promote(&mut self, fencing: Fencing, order: usize) {
        let chosen = self.orders.remove(order).server;
        let server = &self.servers[chosen];
        if !server.is_up || (self.leader == chosen && server.is_primary) {
            return;
        }
        let terms = self.servers.iter().map(|server| server.term);
        self.term = terms.max().unwrap_or_default().max(self.term) + 1;
        let former = self.leader;
        self.leader = chosen;
        self.lost = None;
        for index in 0..SERVERS {
            let goes_on = fencing == Fencing::Unchecked
                && index == former
                && self.servers[index].is_primary
                && index != chosen;
            if index != chosen && !goes_on {
                self.follow(index);
            }
        }
        let server = &mut self.servers[chosen];
        server.is_primary = true;
        server.is_draining = false;
        server.term = self.term;
        server.paused = 0;
    }

    /// Makes a server a replica of the leader and rolls back what the leader lacks.
    pub fn follow(&mut self, server: usize) {
        let log = self.leader_log().clone();
        let server = &mut self.servers[server];
        if !server.is_up {
            return;
        }
        server.is_primary = false;
        server.term = server.term.max(self.term);
        let common = server.log.iter().zip(&log).take_while(|(a, b)| a == b);
        let common = common.count();
        server.log.truncate(common);
    }

    /// Returns whether a replica would receive something from the leader.
    pub fn can_receive(&self, replica: usize) -> bool {
        let leader = &self.servers[self.leader];
        let server = &self.servers[replica];
        let is_receiving = server.has_joined && server.is_up && server.paused == 0;
        is_receiving
            && leader.is_up
            && self.lost.is_none()
            && replica != self.leader
            && !server.is_primary
            && server.log != leader.log
    }

    /// Has a replica receive the leader's log.
    pub fn receive(&mut self, replica: usize) {
        self.servers[replica].log = self.servers[self.leader].log.clone();
    }

    /// Returns the log that the server which was promoted last had.
    pub fn leader_log(&self) -> &Vec<(u64, usize)> {
        let log = &self.servers[self.leader].log;
        self.lost.as_ref().unwrap_or(log)
    }

    /// Starts a server again, which holds and knows nothing of before.
    pub fn wipe(&mut self, server: usize) {
        if server == self.leader {
            self.lost = Some(self.leader_log().clone());
        }
        self.servers[server] = Server {
            is_up: true,
            is_draining: false,
            is_primary: false,
            term: FIRST_TERM,
            paused: 0,
            log: Vec::new(),
            run: self.servers[server].run + 1,
            ..self.servers[server].clone()
        };
    }

    /// Returns whether a server has started again without its log since the last acknowledged commit.
    pub fn is_other_run(&self, server: usize) -> bool {
        self.servers[server].run != self.confirmed_runs[server]
    }

    /// Returns the present run of each server.
    pub fn runs(&self) -> [u64; SERVERS] {
        std::array::from_fn(|server| self.servers[server].run)
    }

    /// Records that a commit was acknowledged that was sent when the servers had these `runs`.
    pub fn on_acknowledged(&mut self, runs: [u64; SERVERS]) {
        for (confirmed, run) in self.confirmed_runs.iter_mut().zip(runs) {
            *confirmed = run.max(*confirmed);
        }
    }

    /// Starts a crashed server under the id of the one that joins, at its address and with its log.
    pub fn move_to_joiner(&mut self, server: usize, is_demotion_forgotten: bool) {
        let joiner = SERVERS - 1;
        self.servers[joiner] = self.servers[server].clone();
        self.servers[server].has_joined = false;
        self.servers[server].is_gone = true;
        self.moved = Some(server);
        if self.leader == server {
            self.leader = joiner;
        }
        self.restart(joiner, is_demotion_forgotten);
    }

    /// Restarts a server, which forgets its pause.
    pub fn restart(&mut self, server: usize, is_demotion_forgotten: bool) {
        let was_primary = self.servers[server].is_primary;
        let is_leader = server == self.leader;
        self.servers[server].is_up = true;
        self.servers[server].paused = 0;
        if is_leader {
            self.servers[server].is_primary = was_primary || is_demotion_forgotten;
        } else {
            self.follow(server);
        }
    }
}
