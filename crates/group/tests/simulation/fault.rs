//! Faults: crashes, pauses, cuts, outages, lag, and hand-overs in between.

use std::collections::BTreeSet;

use rand::Rng;

use super::Simulation;
use super::simulation::INSTANCES;
use super::simulation::MS;
use super::simulation::TABLE;
use super::simulation::endpoint;

/// The longest time that a fault lasts.
pub const LONGEST_FAULT: u64 = 1_200 * MS;

impl Simulation {
    /// Lets one thing fail for a while.
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
                self.after(span, move |w| w.servers[server].up = true);
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
            7 => self.cut_zone(server, span),
            // A server that one instance alone can reach, with a replica that follows no other;
            // later that instance sees servers only.
            8 | 9 => {
                let apart = (0..self.instances.len()).filter(|i| *i != at);
                let cut = apart.map(|i| (server, INSTANCES + i)).collect();
                self.cut(cut, span);
                self.cut(vec![(others[0], others[1])], span);
                let delay = self.rng.random_range(100..500) * MS;
                self.after(delay, move |w| w.cut_instance(at));
            }
            // Two servers that do not replicate.
            10 => self.cut(vec![(server, others[0])], span),
            _ => self.cut_instance(at),
        }
        let gap = self.rng.random_range(20..400) * MS;
        self.after(gap, Self::fault);
    }

    /// Cuts an instance off from its peers and from the table.
    fn cut_instance(&mut self, at: usize) {
        let span = self.rng.random_range(100 * MS..LONGEST_FAULT);
        let peers = (0..self.instances.len()).filter(|i| *i != at);
        let others = peers.map(|i| INSTANCES + i).chain([TABLE]);
        self.cut(others.map(|other| (INSTANCES + at, other)).collect(), span);
    }

    /// Cuts a zone off from others and from the table; node `n` is in zone `n % 3`.
    fn cut_zone(&mut self, zone: usize, span: u64) {
        let nodes = INSTANCES + self.instances.len();
        let cut = [0, 1, 2].map(|other| other != zone && self.rng.random_bool(0.8));
        let with_table = self.rng.random_bool(0.8).then_some(TABLE);
        let mut pairs = Vec::new();
        for node in (0..nodes).filter(|node| node % 3 == zone) {
            let outside = (0..nodes).filter(|other| cut[other % 3]);
            pairs.extend(outside.chain(with_table).map(|other| (node, other)));
        }
        self.cut(pairs, span);
    }

    /// Cuts pairs of nodes for a while.
    fn cut(&mut self, pairs: Vec<(usize, usize)>, span: u64) {
        let id = self.next_id;
        self.next_id += 2;
        let ordered: BTreeSet<_> = pairs.iter().map(|(a, b)| (*a.min(b), *a.max(b))).collect();
        self.cuts.insert(id, ordered);
        self.after(span, move |w| {
            w.cuts.remove(&id);
        });
    }
}
