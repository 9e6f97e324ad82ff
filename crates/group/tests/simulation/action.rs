//! Carries out the actions of views at the servers, the table and the peers.

use std::collections::BTreeMap;

use clock::Time;
use group::Action;
use group::Outcome;
use group::Row;
use group::Votes;
use rand::Rng;

use super::Simulation;
use super::simulation::MS;
use super::simulation::endpoint;
use super::simulation::index;
use super::simulation::name;

const COMMIT_TIMEOUT: u64 = 120 * MS;
const VOTES_TIMEOUT: u64 = 30 * MS;

impl Simulation {
    pub fn query_all(&mut self, from: usize) {
        let started = self.local(from, self.now);
        for server in 0..self.servers.len() {
            let work = move |w: &mut Self| Some(w.servers[server].status());
            self.call_server(from, server, work, move |w, status| {
                let (view, now) = w.view(from);
                view.on_status(now, started, &endpoint(server), status);
            });
        }
    }

    pub fn read_row(&mut self, from: usize) {
        let started = self.local(from, self.now);
        let work = |w: &mut Self| w.row.clone();
        self.call_table(from, work, move |w, (row, version)| {
            let (view, now) = w.view(from);
            view.on_row(now, started, row, version);
        });
        if !self.registered.contains(&name(from)) {
            self.register(from);
        }
    }

    pub fn register(&mut self, from: usize) {
        let work = move |w: &mut Self| w.registered.insert(name(from));
        self.call_table(from, work, move |w, _| {
            let (view, now) = w.view(from);
            view.on_registered(now, Time::NEVER);
        });
    }

    fn commit(&mut self, from: usize, expected: u64, row: Row) {
        let (started, life) = (self.local(from, self.now), self.instances[from].life);
        self.instances[from].commit += 1;
        let commit = self.instances[from].commit;
        let done = move |w: &mut Self, row: Row, outcome| {
            if w.instances[from].commit == commit {
                w.instances[from].commit += 1;
                let (view, now) = w.view(from);
                view.on_commit_result(now, started, row, outcome);
            }
        };
        let lost = row.clone();
        self.after(COMMIT_TIMEOUT, move |w| {
            w.input(from, life, move |w| done(w, lost, Outcome::Unknown));
        });
        let written = row.clone();
        let work = move |w: &mut Self| w.write_row(expected, &written);
        self.call_table(from, work, move |w, outcome| done(w, row, outcome));
    }

    fn write_row(&mut self, expected: u64, row: &Row) -> Outcome {
        if self.row.1 != expected {
            let current = Some(self.row.clone());
            return Outcome::Conflict { current };
        }
        assert!(row.revision > self.row.0.revision, "the revision increases");
        assert!(row.term >= self.row.0.term, "the term never decreases");
        let version = expected + self.rng.random_range(1..4);
        self.row = (row.clone(), version);
        Outcome::Committed { version }
    }

    /// Carries out an action of a view.
    pub fn perform(&mut self, from: usize, action: Action) {
        if std::env::var_os("YUCCAMOUNT_TRACE").is_some() {
            eprintln!("{} i{from} {action:?}", self.now);
        }
        match action {
            Action::PollServers => self.query_all(from),
            Action::PollAll => {
                self.query_all(from);
                self.read_row(from);
            }
            Action::AskPeers { term } => self.ask_peers(from, term),
            Action::Commit { expected, row } => self.commit(from, expected, row),
            Action::ListInstances => {
                let started = self.local(from, self.now);
                let work = |w: &mut Self| w.registered.clone();
                self.call_table(from, work, move |w, names| {
                    let (view, now) = w.view(from);
                    view.on_instances(now, started, names);
                });
            }
            Action::Announce {
                instances,
                row,
                version,
            } => {
                for to in (0..self.instances.len()).filter(|to| *to != from) {
                    if instances.is_empty() || instances.contains(&name(to)) {
                        let row = row.clone();
                        self.send_to_peer(from, to, move |w| w.announced(from, to, row, version));
                    }
                }
            }
            Action::Promote { endpoint, term } => {
                let server = index(&endpoint);
                let work = move |w: &mut Self| {
                    let promoted = w.servers[server].promote(term);
                    w.history.promotions += u64::from(promoted);
                    None::<()>
                };
                self.call_server(from, server, work, |_, ()| {});
            }
            Action::Create { .. } | Action::Event(_) => {}
        }
    }

    fn announced(&mut self, from: usize, to: usize, row: Row, version: u64) {
        let revision = row.revision;
        let (view, now) = self.view(to);
        if !view.on_announced(now, row, version) {
            return;
        }
        self.send_to_peer(to, from, move |w| {
            let (view, now) = w.view(from);
            view.on_acknowledged(now, &name(to), revision);
        });
    }

    fn ask_peers(&mut self, from: usize, term: u64) {
        let (peers, life) = (self.instances.len() - 1, self.instances[from].life);
        let answers = BTreeMap::new();
        self.instances[from].votes = Votes {
            term,
            peers,
            answers,
        };
        for to in (0..=peers).filter(|to| *to != from) {
            self.send_to_peer(from, to, move |w| {
                let (view, now) = w.view(to);
                let alive = view.is_primary_alive(now);
                w.send_to_peer(to, from, move |w| {
                    w.instances[from].votes.answers.insert(name(to), alive);
                });
            });
        }
        self.after(VOTES_TIMEOUT, move |w| {
            w.input(from, life, move |w| {
                let votes = w.instances[from].votes.clone();
                let (view, now) = w.view(from);
                view.on_votes(now, votes);
            });
        });
    }
}
