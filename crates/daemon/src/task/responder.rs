//! Handles the requests of peers.

use std::sync::Arc;

use async_trait::async_trait;
use clock::Time;
use membership::Verdict;
use peer::Handler;
use peer::Peer;
use timeline::Kind;
use timeline::event;

use super::limiter;
use super::sync;
use crate::node::Node;
use crate::node::lock;
use crate::wire::Head;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::decode;
use crate::wire::encode;

/// Handles the requests of peers.
pub struct Responder {
    node: Arc<Node>,
}

impl Responder {
    /// Creates the request handler of a process.
    pub fn open(node: Arc<Node>) -> Arc<Self> {
        Arc::new(Self { node })
    }

    fn answer(&self, caller: &Peer, request: Request) -> Option<Reply> {
        match request {
            Request::Heartbeat(heartbeat) => {
                if heartbeat.name != caller.name || heartbeat.life != caller.incarnation {
                    return None;
                }
                on_heartbeat(&self.node, &heartbeat);
                Some(Reply::Heartbeat(self.node.heartbeat()))
            }
            Request::Head => Some(Reply::Head(self.head())),
            Request::Snapshot => {
                let held = self.node.held();
                Some(Reply::Snapshot(held.map(|held| held.snapshot.clone())))
            }
            Request::Push { origin, snapshot } => {
                let source = settings::Source::Peer;
                sync::accept_snapshot(&self.node, &snapshot, source, &origin);
                Some(Reply::Pushed(lock(&self.node.holder).revision()))
            }
            Request::Vote { group, term } => Some(Reply::Vote(self.vote(&group, term))),
            Request::Announce {
                group,
                row,
                version,
            } => {
                let handle = self.node.group(&group)?;
                let revision = row.revision;
                let is_given_up = handle.input(|view, now| view.on_announced(now, row, version));
                // Without a confirmation the promoter waits until all proofs are over.
                let is_alone = lock(&self.node.renewer).is_alone(self.node.now());
                (is_given_up && is_alone).then_some(Reply::Acknowledged(revision))
            }
            Request::Rate(message) => {
                let sends = limiter::on_message(&self.node, &caller.name, message);
                let messages = sends.into_iter().map(|send| send.message);
                Some(Reply::Rate(messages.collect()))
            }
        }
    }

    fn head(&self) -> Head {
        let now = self.node.now();
        let holder = lock(&self.node.holder);
        let hash = holder.held().map(|held| Arc::clone(&held.snapshot.hash));
        let age = |at: Time| now.since(at).as_micros();
        Head {
            revision: holder.revision(),
            hash: hash.unwrap_or_else(|| Arc::from("")),
            confirmed_age_us: holder.confirmed().map(age),
        }
    }

    fn vote(&self, group: &str, term: u64) -> Option<bool> {
        let handle = self.node.group(group)?;
        handle.view(|view, now| {
            let (_, known) = view.primary(now)?;
            if known > term {
                return None;
            }
            view.is_primary_alive(now)
        })
    }
}

#[async_trait]
impl Handler for Responder {
    async fn handle(&self, caller: Peer, request: Vec<u8>) -> Option<Vec<u8>> {
        let request = decode(&request)?;
        let reply = self.answer(&caller, request)?;
        Some(encode(&reply))
    }
}

/// Updates the member list from a heartbeat, and the settings revision known for its sender.
pub fn on_heartbeat(node: &Arc<Node>, heartbeat: &membership::Heartbeat) {
    let now = node.now();
    let verdict = lock(&node.members).on_heartbeat(now, heartbeat);
    match verdict {
        Verdict::Accepted => {
            let name = &heartbeat.name;
            lock(&node.holder).note(now, name, heartbeat.life, heartbeat.revision);
        }
        Verdict::Replayed | Verdict::Own | Verdict::UnconfirmedLife => {}
        Verdict::OtherFleet | Verdict::OtherVersion | Verdict::EarlierLife => {
            let refused = event(Kind::Peer, "refused-heartbeat")
                .with("peer", &heartbeat.name)
                .with("why", verdict);
            node.ring.record(refused);
        }
    }
}
