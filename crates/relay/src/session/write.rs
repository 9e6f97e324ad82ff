//! Writes outside transactions.

use std::sync::Arc;
use std::time::Duration;

use crate::Error;
use crate::group::Server;
use crate::message::Code;
use crate::message::Failure;
use crate::message::Reply;
use crate::message::State;
use crate::session::Commit;
use crate::session::Job;
use crate::session::read::CLOSED;
use crate::session::read::COLD;
use crate::session::read::cut_off_failure;
use crate::session::read::evacuated_failure;
use crate::session::read::overloaded;
use crate::session::read::refused;

/// Delay before a write that did not run is retried.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Why a write is not sent while the primary is being replaced.
pub const REPLACED: &str = "the primary is being replaced";

/// Runs a write; it is retried only if the server reports that it did not run.
pub async fn run(job: &Job<'_>) -> Reply {
    loop {
        if job.is_expired() {
            return refused(job, "the group has no primary that can take the write");
        }
        if let Some(failure) = cut_off_failure(job, true).or_else(|| evacuated_failure(job)) {
            return Reply::failed(failure, State::Idle);
        }
        let leader = job.group.leader();
        let Some(server) = leader.filter(|leader| !leader.is_closed(job.node.now())) else {
            job.wait_for_change(RETRY_DELAY).await;
            continue;
        };
        if job.group.is_replacement_open() || !job.group.may_send(&server) {
            job.wait_for_change(RETRY_DELAY).await;
            continue;
        }
        match attempt(job, &server).await {
            Attempt::Answer(reply) => return reply,
            Attempt::NotRun(why) => {
                job.log_attempt(&server.name, &why);
                job.wait_for_change(RETRY_DELAY).await;
            }
        }
    }
}

/// The outcome of an attempt.
enum Attempt {
    /// The final reply.
    Answer(Reply),
    /// The write did not run.
    NotRun(String),
}

async fn attempt(job: &Job<'_>, server: &Arc<Server>) -> Attempt {
    let mut connection = match job.acquire(server).await {
        Ok(connection) => connection,
        Err(Error::Overloaded { retry_after, .. }) => {
            let failure = overloaded(job, retry_after);
            return Attempt::Answer(Reply::failed(failure, State::Idle));
        }
        Err(error) => return Attempt::NotRun(error.to_string()),
    };
    if let Err(fault) = job.sync_session(&mut connection, None).await {
        return Attempt::NotRun(fault.to_string());
    }
    if let Some(failure) = job.node.recheck_key(job) {
        connection.release();
        return Attempt::Answer(Reply::failed(failure, State::Idle));
    }
    if server.is_closed(job.node.now()) {
        connection.release();
        return Attempt::NotRun(CLOSED.to_owned());
    }
    if !job.group.on_send(server) {
        connection.release();
        return Attempt::NotRun(COLD.to_owned());
    }
    if job.group.is_replacement_open() {
        connection.release();
        return Attempt::NotRun(REPLACED.to_owned());
    }
    let commit = Commit::open(job, job.group, &server.name);
    let request = job.request(&connection, None);
    let reply = match connection.commit(request, job.deadline).await {
        Ok(reply) => reply,
        Err(error) => {
            let text = format!("the write may have taken effect: {error}");
            let failure = Failure::new(Code::InDoubt, &text);
            return Attempt::Answer(Reply::failed(failure, State::Idle));
        }
    };
    connection.release();
    match reply.code() {
        None => {
            let Some(position) = reply.position else {
                return Attempt::Answer(Reply::failed(unplaced(), State::Idle));
            };
            match commit.acknowledge(position).await {
                Ok(()) => Attempt::Answer(reply),
                Err(failure) => Attempt::Answer(Reply::failed(failure, State::Idle)),
            }
        }
        Some(code) if code.is_not_run() => {
            if code == Code::ReadOnly {
                job.group.on_not_leader(&server.name);
            }
            Attempt::NotRun(code.to_string())
        }
        Some(_) => Attempt::Answer(reply),
    }
}

/// Returns the failure of a write that the server confirmed without its position: the session's next
/// read could miss it.
pub fn unplaced() -> Failure {
    let text = "the server confirmed the write without its log position";
    Failure::new(Code::InDoubt, text)
}
