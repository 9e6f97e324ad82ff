//! Reads outside transactions.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::Time;
use endpoint::Position;

use crate::Error;
use crate::group::Server;
use crate::message::Code;
use crate::message::Failure;
use crate::message::Reply;
use crate::message::Request;
use crate::message::State;
use crate::message::Statement;
use crate::node::lock;
use crate::pool::Lane;
use crate::session::Job;
use crate::session::Refusal;
use crate::settings::Freshness;

/// Pause before servers that were tried are tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Without any word from a server for this long a read goes to another one; a healthy server
/// answers some statement within a few tens of milliseconds.
const SILENCE: Duration = Duration::from_millis(350);

/// Why a statement is refused under overload.
pub const OVERLOADED: &str = "more statements wait for the servers than they can answer in time";

/// Where a read goes.
pub enum Place {
    /// To a server that holds the floor.
    Any(Arc<Server>, Position),
    /// To the leader, which must prove that it still leads.
    Leader(Arc<Server>),
    /// Nowhere for now.
    Nowhere,
}

/// Returns the lowest position that a read which arrived at `arrived` must see; `None` if no
/// known position is recent enough.
pub fn floor(job: &Job<'_>, arrived: Time) -> Option<Position> {
    let lead = lock(&job.group.lead);
    match job.route.freshness {
        Freshness::Latest => None,
        Freshness::Bounded { staleness } => lead.floor(arrived - staleness),
        Freshness::ReadYourWrites { staleness } => {
            let floor = lead.floor(arrived - staleness)?;
            let Some(seen) = job.seen else {
                return Some(floor);
            };
            lead.cover(seen).map(|seen| floor.max(seen))
        }
    }
}

/// Returns where a read goes, passing over the servers in `tried`.
pub fn place(job: &Job<'_>, tried: &BTreeSet<Arc<str>>) -> Place {
    let now = job.node.now();
    if let Some(floor) = floor(job, job.arrived) {
        let zone = &job.node.options.zone;
        let server = job.group.reader(now, floor, job.account, zone, tried);
        return server.map_or(Place::Nowhere, |server| Place::Any(server, floor));
    }
    match job.group.leader() {
        Some(leader) if !tried.contains(&leader.name) => Place::Leader(leader),
        _ => Place::Nowhere,
    }
}

/// Runs a read; it may be tried at several servers, as it changes nothing.
pub async fn run(job: &Job<'_>) -> Reply {
    let mut tried = BTreeSet::new();
    let mut is_overloaded = false;
    loop {
        if job.is_late() {
            return refused(job, "no server could take the read in time");
        }
        let (server, floor) = match place(job, &tried) {
            Place::Any(server, floor) => (server, Some(floor)),
            Place::Leader(server) => (server, None),
            Place::Nowhere => {
                if let Some(failure) = nowhere(job, false) {
                    return Reply::failed(failure, State::Idle);
                }
                if is_overloaded {
                    return refused(job, OVERLOADED);
                }
                tried.clear();
                job.pause(RETRY_PAUSE).await;
                continue;
            }
        };
        match attempt(job, &server, floor).await {
            Ok(reply) => return reply,
            Err(Refusal::Final(failure)) => return Reply::failed(failure, State::Idle),
            Err(Refusal::Overloaded) => {
                job.log_try(&server.name, &OVERLOADED);
                is_overloaded = true;
                tried.insert(Arc::clone(&server.name));
            }
            Err(Refusal::Elsewhere(why)) => {
                job.log_try(&server.name, &why);
                tried.insert(Arc::clone(&server.name));
            }
        }
    }
}

async fn attempt(
    job: &Job<'_>,
    server: &Arc<Server>,
    floor: Option<Position>,
) -> Result<Reply, Refusal> {
    let mut lane = job.acquire(server).await.map_err(Refusal::from)?;
    let adapted = job.adapt(&mut lane, None).await;
    adapted.map_err(|trouble| Refusal::Elsewhere(trouble.to_string()))?;
    if let Some(failure) = job.node.still_allowed(job) {
        lane.release();
        return Err(Refusal::Final(failure));
    }
    let sent = job.node.now();
    let mut requests = vec![job.request(&lane, floor)];
    if floor.is_none() {
        // The leader alone begins a transaction that may write, so the answer to this one shows
        // that the read saw the log of the leader.
        requests.push(Request::internal(Statement::Begin {
            is_read_only: false,
        }));
        requests.push(Request::internal(Statement::Rollback));
    }
    let replies = converse(job, server, &mut lane, &requests).await?;
    lane.release();
    judge(job, server, sent, replies)
}

/// Exchanges the requests, giving up early on a server that has gone silent altogether.
async fn converse(
    job: &Job<'_>,
    server: &Arc<Server>,
    lane: &mut Lane,
    requests: &[Request],
) -> Result<Vec<Reply>, Refusal> {
    let silent = async {
        loop {
            tokio::time::sleep(SILENCE / 2).await;
            if lock(&server.vitals).is_silent(job.node.now(), SILENCE.into()) {
                return;
            }
        }
    };
    tokio::select! {
        exchanged = lane.exchange(requests, job.deadline) => match exchanged {
            Ok(replies) => Ok(replies),
            Err(Error::Timeout { .. }) => Err(Refusal::Final(Failure::new(
                Code::Timeout,
                "the server did not answer within the statement's limit",
            ))),
            Err(error) => Err(Refusal::Elsewhere(error.to_string())),
        },
        () = silent => {
            lock(&server.vitals).on_failure(job.node.now());
            Err(Refusal::Elsewhere("the server is silent".to_owned()))
        }
    }
}

fn judge(
    job: &Job<'_>,
    server: &Arc<Server>,
    sent: Time,
    replies: Vec<Reply>,
) -> Result<Reply, Refusal> {
    let mut replies = replies.into_iter();
    let Some(reply) = replies.next() else {
        return Err(Refusal::Elsewhere("no answer".to_owned()));
    };
    let proof = replies.next();
    match &reply.outcome {
        Ok(_) => {}
        Err(failure) if failure.code == Code::Behind => {
            lock(&server.vitals).on_behind(job.node.now());
            return Err(Refusal::Elsewhere("behind the floor".to_owned()));
        }
        Err(failure) if failure.code.is_not_run() => {
            return Err(Refusal::Elsewhere(failure.code.to_string()));
        }
        Err(failure) => return Err(Refusal::Final(failure.clone())),
    }
    let Some(proof) = proof else {
        return Ok(reply);
    };
    match (&proof.outcome, proof.position) {
        (Ok(_), Some(position)) => {
            job.group.on_proof(sent, &server.name, position);
            Ok(reply)
        }
        _ => {
            job.group.on_deposed(&server.name);
            Err(Refusal::Elsewhere("the server does not lead".to_owned()))
        }
    }
}

/// Returns the refusal of a statement that needs the leader while only other instances reach it.
pub fn nowhere(job: &Job<'_>, needs_leader: bool) -> Option<Failure> {
    let is_cut_off = job.group.leader().is_none() && !lock(&job.node.readiness).is_ready();
    let is_elsewhere = job.group.is_led_elsewhere.load(Ordering::Relaxed);
    if !is_cut_off && !is_elsewhere {
        return None;
    }
    if !needs_leader && floor(job, job.arrived).is_some() {
        return None;
    }
    let why = "this instance does not reach the group's primary, others may";
    Some(not_run(job, why))
}

/// Returns the refusal of a statement that ran nowhere.
pub fn not_run(job: &Job<'_>, why: &str) -> Failure {
    Failure::not_run(why, job.node.options.retry_after)
}

/// Returns the answer that refuses a statement outside transactions which ran nowhere.
pub fn refused(job: &Job<'_>, why: &str) -> Reply {
    Reply::failed(not_run(job, why), State::Idle)
}
