//! Writes outside transactions.

use std::sync::Arc;
use std::time::Duration;

use crate::Error;
use crate::group::Server;
use crate::message::Code;
use crate::message::Failure;
use crate::message::Reply;
use crate::message::State;
use crate::session::Job;
use crate::session::read::OVERLOADED;
use crate::session::read::nowhere;
use crate::session::read::refused;

/// Pause before a write that did not run is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Runs a write; it is sent again only after an answer that says that it did not run.
pub async fn run(job: &Job<'_>) -> Reply {
    loop {
        if job.is_late() {
            return refused(job, "the group has no primary that can take the write");
        }
        if let Some(failure) = nowhere(job, true) {
            return Reply::failed(failure, State::Idle);
        }
        let Some(server) = job.group.leader() else {
            job.pause(RETRY_PAUSE).await;
            continue;
        };
        match attempt(job, &server).await {
            Attempt::Answer(reply) => return reply,
            Attempt::NotRun(why) => {
                job.log_try(&server.name, &why);
                job.pause(RETRY_PAUSE).await;
            }
        }
    }
}

/// What a try came to.
enum Attempt {
    /// The final answer.
    Answer(Reply),
    /// The write did not run.
    NotRun(String),
}

async fn attempt(job: &Job<'_>, server: &Arc<Server>) -> Attempt {
    let mut lane = match job.acquire(server).await {
        Ok(lane) => lane,
        Err(Error::Overloaded { .. }) => return Attempt::Answer(refused(job, OVERLOADED)),
        Err(error) => return Attempt::NotRun(error.to_string()),
    };
    if let Err(trouble) = job.adapt(&mut lane, None).await {
        return Attempt::NotRun(trouble.to_string());
    }
    if let Some(failure) = job.node.still_allowed(job) {
        lane.release();
        return Attempt::Answer(Reply::failed(failure, State::Idle));
    }
    let sent = job.node.now();
    let request = job.request(&lane, None);
    let reply = match lane.commit(request, job.deadline).await {
        Ok(reply) => reply,
        Err(error) => {
            let text = format!("the write may have taken effect: {error}");
            let failure = Failure::new(Code::InDoubt, &text);
            return Attempt::Answer(Reply::failed(failure, State::Idle));
        }
    };
    lane.release();
    match reply.code() {
        None => {
            if let Some(position) = reply.position {
                job.group.on_commit(sent, &server.name, position);
            }
            Attempt::Answer(reply)
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
