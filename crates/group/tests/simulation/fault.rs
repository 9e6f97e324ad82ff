//! Faults: crashes, pauses, network partitions, outages, lag and requested handovers.

use std::collections::BTreeSet;

use rand::Rng;

use super::Simulation;
use super::simulation::INSTANCES;
use super::simulation::MS;
use super::simulation::TABLE;
use super::simulation::endpoint;

/// The maximum duration of a fault, in microseconds.
pub const LONGEST_FAULT: u64 = 1_200 * MS;

impl Simulation {
    /// Injects one random fault and schedules the next.
    pub fn fault(&mut self) {
        if self.now > self.faulty_until {
            return;
        }
        let span = self.rng.random_range(100 * MS..LONGEST_FAULT);
        let server = self.rng.random_range(0..self.servers.len());
        let others = [(server + 1) % 3, (server + 2) % 3];
        let at = self.rng.random_range(0..self.instances.len());
        let life = self.instances[at].life;
        match self.rng.random_range(0..12) {
            0 => {
                self.servers[server].up = false;
                self.after(span, move |w| w.servers[server].restart());
            }
            1 => self.start(at, life + 1),
            2 => self.instances[at].paused_until = self.now + span,
            3 => {
                self.table_up = false;
                self.after(span, |w| w.table_up = true);
            }
            4 => {
                self.servers[server].slow = self.rng.random_range(20..300) * MS;
                self.after(span, move |w| w.servers[server].slow = 0);
            }
            5 => {
                self.servers[server].steps = self.rng.random_range(0..2);
                self.after(span, move |w| w.servers[server].steps = 8);
            }
            6 => self.input(at, life, move |w| {
                let (view, now) = w.view(at);
                view.request_handover(now, "test", &endpoint(server));
            }),
            7 => self.partition_zone(server, span),
            // Only one instance reaches the server, and the other two servers do not replicate to
            // each other; later that instance reaches servers only.
            8 | 9 => {
                let apart = (0..self.instances.len()).filter(|i| *i != at);
                let pairs = apart.map(|i| (server, INSTANCES + i)).collect();
                self.block(pairs, span);
                self.block(vec![(others[0], others[1])], span);
                let delay = self.rng.random_range(100..500) * MS;
                self.after(delay, move |w| w.partition_instance(at));
            }
            // Two servers do not replicate to each other.
            10 => self.block(vec![(server, others[0])], span),
            _ => self.partition_instance(at),
        }
        let gap = self.rng.random_range(20..400) * MS;
        self.after(gap, Self::fault);
    }

    /// Partitions an instance from its peers and from the table.
    fn partition_instance(&mut self, at: usize) {
        let span = self.rng.random_range(100 * MS..LONGEST_FAULT);
        let peers = (0..self.instances.len()).filter(|i| *i != at);
        let others = peers.map(|i| INSTANCES + i).chain([TABLE]);
        self.block(others.map(|other| (INSTANCES + at, other)).collect(), span);
    }

    /// Partitions a zone from random other zones and mostly from the table.
    ///
    /// Node `n` is in zone `n % 3`.
    fn partition_zone(&mut self, zone: usize, span: u64) {
        let nodes = INSTANCES + self.instances.len();
        let is_blocked = [0, 1, 2].map(|other| other != zone && self.rng.random_bool(0.8));
        let with_table = self.rng.random_bool(0.8).then_some(TABLE);
        let mut pairs = Vec::new();
        for node in (0..nodes).filter(|node| node % 3 == zone) {
            let outside = (0..nodes).filter(|other| is_blocked[other % 3]);
            pairs.extend(outside.chain(with_table).map(|other| (node, other)));
        }
        self.block(pairs, span);
    }

    /// Blocks messages between pairs of nodes for `span` microseconds.
    fn block(&mut self, pairs: Vec<(usize, usize)>, span: u64) {
        let id = self.next_id;
        self.next_id += 2;
        let ordered: BTreeSet<_> = pairs.iter().map(|(a, b)| (*a.min(b), *a.max(b))).collect();
        self.partitions.insert(id, ordered);
        self.after(span, move |w| {
            w.partitions.remove(&id);
        });
    }
}
