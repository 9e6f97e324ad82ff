//! One moment of the model.

use clock::Span;
use clock::Time;
use relay::failover::Lease;
use relay::failover::Recheck;
use relay::node::Fencing;

use crate::cluster::Cluster;
use crate::cluster::Command;
use crate::cluster::Order;
use crate::cluster::SERVERS;
use crate::cluster::Status;
use crate::commit::Commit;
use crate::instance::Instance;
use crate::rules::Rules;
use crate::table::Table;

/// A call that is carried out after its caller has given it up.
#[derive(Clone, Debug)]
pub enum Late {
    /// A write of the group's row, if that still has the version.
    Write(u64, Lease),
    /// An order that the platform carries out late.
    Order(Order),
    /// An order that is on its way, until when it may arrive; `None` if it may do so at any time.
    Delayed(Order, Option<Time>),
    /// A command to a server.
    Command(usize, Command),
}

/// One moment of the model.
#[derive(Clone, Debug)]
pub struct State {
    pub now: Time,
    pub cluster: Cluster,
    pub table: Table,
    pub instances: [Instance; 2],
    /// Whether the instances don't reach each other.
    pub are_peers_cut: bool,
    pub commits: Vec<Commit>,
    pub late: Vec<Late>,
    pub faults: u8,
    pub ticks: u8,
    pub changes: u8,
    /// Servers that ended for good or lost their log.
    pub losses: u8,
}

impl State {
    /// Starts with a proven leader and both instances registered.
    pub fn open(rules: &Rules) -> Self {
        let now = Time::ZERO + Span::from_secs(60);
        let mut knows = [true; SERVERS];
        knows[SERVERS - 1] = false;
        let instance = |number: u64| Instance::open(now, number, knows, rules);
        let mut state = Self {
            now,
            cluster: Cluster::open(),
            table: Table::open(),
            instances: [instance(1), instance(2)],
            are_peers_cut: false,
            commits: Vec::new(),
            late: Vec::new(),
            faults: 0,
            ticks: 0,
            changes: 0,
            losses: 0,
        };
        for instance in 0..2 {
            state.instances[instance].recheck = Recheck::default();
            state.read(instance);
            state.probe(instance);
        }
        state
    }

    /// Has an instance send a command to a server; `None` without an answer.
    pub fn command(&mut self, instance: usize, server: usize, command: Command) -> Option<Status> {
        let is_reached = self.instances[instance].reaches[server];
        is_reached.then(|| self.run(server, command)).flatten()
    }

    /// Has a server run a command; `None` if it is down.
    fn run(&mut self, server: usize, command: Command) -> Option<Status> {
        let server = &mut self.cluster.servers[server];
        server.is_up.then(|| server.run(command))
    }

    /// Carries out a call that its caller has given up.
    pub fn carry(&mut self, fencing: Fencing, call: Late) {
        match call {
            Late::Write(expected, lease) => {
                self.table.write(expected, &lease);
            }
            Late::Order(order) => {
                self.cluster.order(fencing, order, true);
            }
            Late::Delayed(order, until) => {
                if until.is_none_or(|until| self.now < until) {
                    self.cluster.order(fencing, order, false);
                }
            }
            Late::Command(server, command) => {
                self.run(server, command);
            }
        }
    }

    /// Has an instance read the servers' entries.
    pub fn learn(&mut self, instance: usize) {
        if !self.instances[instance].reaches_table {
            return;
        }
        let knows_joiner = self.instances[instance].knows[SERVERS - 1];
        if self.cluster.servers[SERVERS - 1].has_joined && !knows_joiner {
            self.instances[instance].on_joined(self.cluster.moved);
        }
    }

    /// Has an instance read the table.
    pub fn read(&mut self, instance: usize) {
        if !self.instances[instance].reaches_table || !self.instances[instance].follows_rows {
            return;
        }
        self.table.register(instance);
        let content = self.table.content.clone();
        self.apply_read(instance, self.now, &content);
    }

    /// Applies what an instance read by a call begun at `begun`.
    pub fn apply_read(&mut self, instance: usize, begun: Time, content: &crate::table::Content) {
        let now = self.now;
        let is_registered = content.registered[instance];
        let reader = &mut self.instances[instance];
        if !reader.on_content(now, begun, is_registered, content) {
            return;
        }
        if let Some(newest) = reader.newest.clone() {
            self.table.write(content.version, &newest);
        }
    }

    /// Has an instance ask each server that it knows whether it leads.
    pub fn probe(&mut self, instance: usize) {
        let now = self.now;
        for server in 0..SERVERS {
            if !self.instances[instance].knows[server] {
                continue;
            }
            let answer = self.command(instance, server, Command::Status);
            if let Some(status) = answer.filter(|status| status.is_primary) {
                let prober = &mut self.instances[instance];
                prober.on_proof(now, now, server, status.received);
            } else if answer.is_some() {
                let name = crate::cluster::name(server);
                self.instances[instance].leadership.on_not_leader(&name);
            }
        }
    }

    /// Returns whether the other instance receives what an instance sends.
    pub fn reaches_other(&self, instance: usize) -> bool {
        !self.are_peers_cut && self.instances[1 - instance].is_active()
    }
}
