//! The history that the clients observed, and the checks on it.

use std::collections::BTreeMap;

use endpoint::Position;
use session::Floors;

use super::Server;

/// A client's session.
#[derive(Default)]
pub struct Session {
    pub floors: Floors,
    /// The writes acknowledged in it, in order.
    pub acked: Vec<u64>,
}

/// The acknowledged writes, the counted reads and the first violation.
pub struct History {
    pub sessions: Vec<Session>,
    /// When each write was acknowledged.
    pub acked: BTreeMap<u64, u64>,
    pub last_ack: u64,
    pub reads: u64,
    pub replica_reads: u64,
    /// The number of writes that ended with an unknown outcome.
    pub given_up: usize,
    pub promotions: u64,
    /// The first violation found.
    pub violation: Option<String>,
}

impl History {
    pub fn new(sessions: usize) -> Self {
        Self {
            sessions: (0..sessions).map(|_| Session::default()).collect(),
            acked: BTreeMap::new(),
            last_ack: 0,
            reads: 0,
            replica_reads: 0,
            given_up: 0,
            promotions: 0,
            violation: None,
        }
    }

    pub fn fail(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    /// Checks and records an acknowledgement at the time that it is sent.
    ///
    /// The servers of the latest term must hold the write by then, since a write that a replaced
    /// primary ran after the promotion cannot be in their log. A server of an abandoned term in
    /// between may lack it, since no write is acknowledged in that term.
    pub fn acknowledge(&mut self, now: u64, id: u64, session: usize, at: Position, all: &[Server]) {
        let term = at.term;
        let latest = all.iter().map(Server::term).max().unwrap_or_default();
        for (name, server) in all.iter().enumerate() {
            if latest > term && server.term() == latest && !server.holds(id) {
                self.fail(format!(
                    "at {now}: write {id} of term {term} acknowledged, but server {name} is at \
                     term {latest} without it"
                ));
            }
        }
        self.acked.insert(id, now);
        self.last_ack = now;
        let session = &mut self.sessions[session];
        session.acked.push(id);
        session.floors.raise("orders", at);
    }

    /// Returns the writes that a read which starts now must see: those of its session, or, if the
    /// read has a maximum age, all that were acknowledged by `oldest`.
    pub fn required(&self, session: usize, oldest: Option<u64>) -> Vec<u64> {
        let Some(oldest) = oldest else {
            return self.sessions[session].acked.clone();
        };
        let aged = self.acked.iter().filter(|(_, at)| **at <= oldest);
        aged.map(|(id, _)| *id).collect()
    }

    /// Checks at the end that every acknowledged write is present and none was applied twice.
    pub fn finish(&mut self, servers: &[Server]) {
        let Some(last) = servers.iter().max_by_key(|server| server.status().received) else {
            return;
        };
        let mut count: BTreeMap<u64, u32> = BTreeMap::new();
        for (_, id) in last
            .log
            .iter()
            .filter(|(_, id)| *id != super::server::TERM_START)
        {
            *count.entry(*id).or_default() += 1;
        }
        if let Some((id, times)) = count.iter().find(|(_, times)| **times > 1) {
            self.fail(format!("write {id} was applied {times} times"));
        }
        let lost = self
            .acked
            .keys()
            .find(|id| !count.contains_key(id))
            .copied();
        if let Some(id) = lost {
            self.fail(format!("acknowledged write {id} is missing at the end"));
        }
    }
}
