//! What the callers saw, and the checks over it.

use std::collections::BTreeMap;

use endpoint::Position;
use session::Floors;

use super::Server;

/// A caller's session.
#[derive(Default)]
pub struct Session {
    pub floors: Floors,
    /// The writes acknowledged to it, in order.
    pub acked: Vec<u64>,
}

/// The acknowledged writes, the answered reads and what was wrong with them.
pub struct History {
    pub sessions: Vec<Session>,
    /// When each write was acknowledged.
    pub acked: BTreeMap<u64, u64>,
    pub last_ack: u64,
    pub reads: u64,
    pub replica_reads: u64,
    /// Writes given up without a final answer.
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

    /// Takes an acknowledgement at the moment that it leaves.
    ///
    /// The servers of the latest term must hold the write by then; what a replaced primary ran
    /// after the promotion cannot be in their log. A server of an abandoned term in between may
    /// lack it, since nothing is acknowledged there.
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

    /// Returns the writes that a read must see that is started now: those of its session, or all
    /// that were acknowledged by `oldest` if it asks for an age.
    pub fn required(&self, session: usize, oldest: Option<u64>) -> Vec<u64> {
        let Some(oldest) = oldest else {
            return self.sessions[session].acked.clone();
        };
        let aged = self.acked.iter().filter(|(_, at)| **at <= oldest);
        aged.map(|(id, _)| *id).collect()
    }

    /// Checks at the end that no acknowledged write is missing and none was applied twice.
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
