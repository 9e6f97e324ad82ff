//! Reads outside transactions.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::Span;
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
use crate::pool::Connection;
use crate::schedule::Reason;
use crate::session::Job;
use crate::session::Refusal;
use crate::settings::Freshness;

/// Delay before servers that failed are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// A read moves to another server once this one has sent no reply at all for this long; a healthy
/// server answers some statement within a few tens of milliseconds.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(350);

/// The reason given to a caller whose statement is refused under overload.
pub const OVERLOADED: &str = "more statements wait for the servers than they can answer in time";

/// Why a statement is not sent to a server whose zone is evacuated.
pub const EVACUATED: &str = "the server's zone is evacuated";
/// Why a server gets no new statement or transaction.
pub const CLOSED: &str = "the server's zone is evacuated or the server leaves";

/// Why a statement is not sent to a server that is warming up.
pub const COLD: &str = "the server is warming up";

/// The destination of a read.
pub enum Destination {
    /// A server that has applied the log up to the position.
    Server(Arc<Server>, Position),
    /// The leader, which must prove that it still leads.
    Leader(Arc<Server>),
    /// No server qualifies at present.
    Unavailable,
}

/// Returns the minimum log position for a read that arrived at `arrived`; `None` if no known
/// position is recent enough.
pub fn floor(job: &Job<'_>, arrived: Time) -> Option<Position> {
    let leadership = lock(&job.group.leadership);
    match job.route.freshness {
        Freshness::Latest => None,
        Freshness::Bounded { staleness } => leadership.floor(arrived - staleness),
        Freshness::ReadYourWrites { staleness } => {
            let floor = leadership.floor(arrived - staleness)?;
            let Some(seen) = job.last_commit else {
                return Some(floor);
            };
            leadership
                .covering_position(seen)
                .map(|seen| floor.max(seen))
        }
    }
}

/// Chooses the destination of a read, skipping the servers in `tried`.
pub fn destination(job: &Job<'_>, tried: &BTreeSet<Arc<str>>) -> Destination {
    let now = job.node.now();
    if let Some(floor) = floor(job, job.arrived) {
        let zone = &job.node.options.zone;
        let server =
            job.group
                .choose_reader(now, floor, job.account, zone, tried, &mut rand::rng());
        return server.map_or(Destination::Unavailable, |server| {
            Destination::Server(server, floor)
        });
    }
    match leader_destination(job) {
        Destination::Leader(leader) if tried.contains(&leader.name) => Destination::Unavailable,
        destination => destination,
    }
}

/// Returns the leader as the destination if this instance may rely on its replies.
pub fn leader_destination(job: &Job<'_>) -> Destination {
    let leader = job.group.leader();
    let leader = leader
        .filter(|leader| job.group.has_proof_of_leadership() && !leader.is_closed(job.node.now()));
    let leader = leader.filter(|leader| job.group.may_send(leader));
    leader.map_or(Destination::Unavailable, Destination::Leader)
}

/// Runs a read; since it changes nothing, it may be retried at other servers.
pub async fn run(job: &Job<'_>) -> Reply {
    let mut tried = BTreeSet::new();
    let mut overload: Option<Span> = None;
    loop {
        if job.is_expired() {
            return refused(job, "no server could take the read in time");
        }
        let (server, floor) = match destination(job, &tried) {
            Destination::Server(server, floor) => (server, Some(floor)),
            Destination::Leader(server) => (server, None),
            Destination::Unavailable => {
                let failure = cut_off_failure(job, false)
                    .or_else(|| unleased_failure(job, false))
                    .or_else(|| evacuated_failure(job));
                if let Some(failure) = failure {
                    return Reply::failed(failure, State::Idle);
                }
                if let Some(retry_after) = overload {
                    return Reply::failed(overloaded(job, retry_after), State::Idle);
                }
                tried.clear();
                job.wait_for_change(RETRY_DELAY).await;
                continue;
            }
        };
        match attempt(job, &server, floor).await {
            Ok(reply) => return reply,
            Err(Refusal::Final(failure)) => return Reply::failed(failure, State::Idle),
            Err(Refusal::Overloaded { retry_after }) => {
                job.log_attempt(&server.name, &OVERLOADED);
                overload = Some(overload.map_or(retry_after, |other| other.min(retry_after)));
                tried.insert(Arc::clone(&server.name));
            }
            Err(Refusal::Retryable(why)) => {
                job.log_attempt(&server.name, &why);
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
    let mut connection = job.acquire(server).await.map_err(Refusal::from)?;
    let adapted = job.sync_session(&mut connection, None).await;
    adapted.map_err(|fault| Refusal::Retryable(fault.to_string()))?;
    if let Some(failure) = job.node.recheck_key(job) {
        connection.release();
        return Err(Refusal::Final(failure));
    }
    if server.is_closed(job.node.now()) {
        connection.release();
        return Err(Refusal::Retryable(CLOSED.to_owned()));
    }
    if !job.group.on_send(server) {
        connection.release();
        return Err(Refusal::Retryable(COLD.to_owned()));
    }
    let sent = job.node.now();
    let mut requests = vec![job.request(&connection, floor)];
    if floor.is_none() {
        // Only the leader accepts a read-write transaction, so its reply proves that the read
        // ran at the leader.
        requests.push(Request::internal(Statement::Begin {
            is_read_only: false,
        }));
        requests.push(Request::internal(Statement::Rollback));
    }
    let replies = exchange(job, server, &mut connection, &requests).await?;
    connection.release();
    interpret(job, server, sent, replies)
}

/// Exchanges the requests, giving up early on a server that sends no replies at all.
async fn exchange(
    job: &Job<'_>,
    server: &Arc<Server>,
    connection: &mut Connection,
    requests: &[Request],
) -> Result<Vec<Reply>, Refusal> {
    let silent = async {
        loop {
            tokio::time::sleep(SILENCE_TIMEOUT / 2).await;
            if lock(&server.health).is_silent(job.node.now(), SILENCE_TIMEOUT.into()) {
                return;
            }
        }
    };
    tokio::select! {
        exchanged = connection.exchange(requests, job.deadline) => match exchanged {
            Ok(replies) => Ok(replies),
            Err(Error::Timeout { .. }) => Err(Refusal::Final(Failure::new(
                Code::Timeout,
                "the server did not answer within the statement's limit",
            ))),
            Err(error) => Err(Refusal::Retryable(error.to_string())),
        },
        () = silent => {
            lock(&server.health).on_failure(job.node.now());
            Err(Refusal::Retryable("the server sends no replies".to_owned()))
        }
    }
}

fn interpret(
    job: &Job<'_>,
    server: &Arc<Server>,
    sent: Time,
    replies: Vec<Reply>,
) -> Result<Reply, Refusal> {
    let mut replies = replies.into_iter();
    let Some(reply) = replies.next() else {
        return Err(Refusal::Retryable("no answer".to_owned()));
    };
    let proof = replies.next();
    match &reply.outcome {
        Ok(_) => {}
        Err(failure) if failure.code == Code::Behind => {
            lock(&server.health).on_lagging(job.node.now());
            let applied = reply.position.unwrap_or_default();
            return Err(Refusal::Retryable(format!(
                "behind the floor, applied {applied}"
            )));
        }
        Err(failure) if failure.code.is_not_run() => {
            return Err(Refusal::Retryable(failure.code.to_string()));
        }
        Err(failure) => return Err(Refusal::Final(failure.clone())),
    }
    let Some(proof) = proof else {
        return Ok(reply);
    };
    match (&proof.outcome, proof.position) {
        (Ok(_), Some(position)) => {
            if !job.group.on_proof(sent, &server.name, position) {
                let why = "the server may have been replaced";
                return Err(Refusal::Retryable(why.to_owned()));
            }
            Ok(reply)
        }
        _ => {
            job.group.on_not_leader(&server.name);
            Err(Refusal::Retryable(
                "the server is not the leader".to_owned(),
            ))
        }
    }
}

/// Returns a failure if the statement needs a leader that this instance can't reach but others may.
pub fn cut_off_failure(job: &Job<'_>, needs_leader: bool) -> Option<Failure> {
    let is_cut_off = job.group.leader().is_none() && !lock(&job.node.readiness).is_ready();
    let is_elsewhere = job.group.is_leader_unreachable.load(Ordering::Relaxed);
    if !is_cut_off && !is_elsewhere {
        return None;
    }
    if !needs_leader && floor(job, job.arrived).is_some() {
        return None;
    }
    let why = "this instance does not reach the group's primary, others may";
    Some(not_run(job, why))
}

/// Returns a failure if the statement needs the leader and this instance can't find out whether it
/// was replaced.
pub fn unleased_failure(job: &Job<'_>, needs_leader: bool) -> Option<Failure> {
    if !job.group.is_leader_unknowable() {
        return None;
    }
    if !needs_leader && floor(job, job.arrived).is_some() {
        return None;
    }
    let why = "this instance can't find out whether the group's primary was replaced";
    Some(not_run(job, why))
}

/// Returns a failure if no server may get the statement until an evacuation ends.
pub fn evacuated_failure(job: &Job<'_>) -> Option<Failure> {
    let why = "all servers of the group are in evacuated zones";
    job.group.is_evacuated().then(|| not_run(job, why))
}

/// Returns the failure of a statement that did not run.
pub fn not_run(job: &Job<'_>, why: &str) -> Failure {
    Failure::not_run(why, job.node.options.retry_after)
}

/// Returns the failure of a statement for which the servers' queues had no room.
pub fn overloaded(job: &Job<'_>, retry_after: Span) -> Failure {
    job.node.metrics.refused(Reason::Overload);
    Failure::not_run(OVERLOADED, retry_after)
}

/// Returns the reply to a statement outside a transaction that did not run.
pub fn refused(job: &Job<'_>, why: &str) -> Reply {
    Reply::failed(not_run(job, why), State::Idle)
}
