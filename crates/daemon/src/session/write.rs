//! Writes outside transactions.

use std::sync::Arc;

use account::queue::Class;
use clock::Span;
use clock::Time;
use endpoint::Answer;
use endpoint::Error;
use endpoint::Query;
use endpoint::Role;
use endpoint::Status;
use front::Refusal;
use group::Ack;
use tokio::time::timeout;

use super::context::Context;
use super::context::Denial;
use super::context::Work;
use super::refuse;
use crate::group::Link;

/// SQLSTATE of a write at a server that is no primary.
const READ_ONLY: &str = "25006";

/// The pause before another try to get a connection to the primary.
const AGAIN: Span = Span::from_millis(10);

/// What became of one attempt.
pub(super) enum Attempt {
    /// The whole answer, proven.
    Done(Answer),
    /// Nothing was run; the next attempt may follow.
    NotRun(Error),
    /// The statement failed at the server, which rolled it back.
    Failed(Error),
    /// The outcome is unknown.
    Unknown(String),
}

/// Runs a write that is sent at most once.
pub(super) async fn run(
    context: &mut Context,
    work: &Work,
    query: &Query,
) -> Result<Answer, Refusal> {
    loop {
        let (mut lease, server, term) = primary(context, work).await?;
        let sent = send(context, work, &mut lease, &server, term, query).await;
        finish(lease, sent.as_ref().err());
        // The connection is free for others while the proof is awaited.
        match settle(context, work, &server, term, sent).await {
            Attempt::Done(answer) => return Ok(answer),
            Attempt::Failed(error) => return Err(error.into()),
            Attempt::Unknown(why) => return Err(refuse::unknown(&why)),
            Attempt::NotRun(error) => {
                log::debug!("step=write group={} error={error:?}", context.group);
                pause(context, work).await?;
            }
        }
    }
}

/// Gives the connection back if its state is known; `failure` is `None` after an answer.
pub(super) fn finish(lease: Link, failure: Option<&Attempt>) {
    match failure {
        None | Some(Attempt::Done(_) | Attempt::Failed(_)) => lease.release(),
        Some(Attempt::NotRun(Error::Server { .. })) => lease.release(),
        Some(Attempt::NotRun(_) | Attempt::Unknown(_)) => drop(lease),
    }
}

/// Waits for the next news of the group before another attempt.
pub(super) async fn pause(context: &Context, work: &Work) -> Result<(), Refusal> {
    let until = context.node.now() + Span::from_millis(work.effective.poll_ms);
    if until >= work.queue_deadline {
        return Err(refuse::unavailable(&context.group, retry(work)));
    }
    let mut changes = work.handle.changes();
    changes.borrow_and_update();
    work.handle.changed(&mut changes, until).await;
    Ok(())
}

/// Waits for a primary at which a write has ground to expect its proof, and a connection to it.
pub(super) async fn primary(
    context: &Context,
    work: &Work,
) -> Result<(Link, Arc<str>, u64), Refusal> {
    let mut changes = work.handle.changes();
    loop {
        changes.borrow_and_update();
        let hint = match target(work) {
            Ok((server, term)) => match take(context, work, &server, term).await? {
                Some(lease) => return Ok((lease, server, term)),
                None => AGAIN,
            },
            Err(hint) => hint,
        };
        let now = context.node.now();
        if now >= work.queue_deadline {
            return Err(refuse::unavailable(&context.group, retry(work)));
        }
        let until = work.queue_deadline.min(now + hint);
        work.handle.changed(&mut changes, until).await;
    }
}

/// Takes a connection to the primary; `None` if another try is to follow.
///
/// Leaves the queue as soon as the server is no longer the one to write to.
async fn take(
    context: &Context,
    work: &Work,
    server: &str,
    term: u64,
) -> Result<Option<Link>, Refusal> {
    let is_lost = || !work.handle.is_primary(server, term) || !work.handle.is_up(server);
    let acquired = tokio::select! {
        biased;
        acquired = context.acquire(work, server, Class::Write) => acquired,
        () = context.wait_until(work, is_lost) => return Ok(None),
    };
    match acquired {
        Ok(lease) if target(work).is_ok_and(|(_, now)| now == term) => Ok(Some(lease)),
        Ok(lease) => {
            lease.release();
            Ok(None)
        }
        Err(Denial::Queue(refusal)) => Err(refusal),
        Err(Denial::Server(error)) => {
            work.handle.on_failure(server, &error);
            Ok(None)
        }
    }
}

/// Returns the primary and its term, or how long to wait at least.
fn target(work: &Work) -> Result<(Arc<str>, u64), Span> {
    work.handle.view(|view, now| {
        let term = view.may_send_write(now)?;
        let found = view.primary(now).filter(|(_, known)| *known == term);
        found.ok_or_else(|| Span::from_millis(work.effective.poll_ms))
    })
}

/// A committed write that is not acknowledged yet.
pub(super) struct Sent {
    pub(super) started: Time,
    pub(super) answer: Answer,
    pub(super) status: Result<Status, Error>,
}

/// Sends a statement once.
pub(super) async fn send(
    context: &Context,
    work: &Work,
    lease: &mut Link,
    server: &Arc<str>,
    term: u64,
    query: &Query,
) -> Result<Sent, Attempt> {
    context.slot.set(lease.canceller());
    let started = context.node.now();
    let left = context.left(work.deadline);
    // Once there is a later term, an answer can't be acknowledged any more.
    let is_replaced = || !work.handle.is_primary(server, term);
    let result = tokio::select! {
        biased;
        result = timeout(left, lease.run_with_status(query)) => result,
        () = context.wait_until(work, is_replaced) => {
            context.slot.clear();
            return Err(Attempt::Unknown("the primary was replaced".to_owned()));
        }
    };
    context.slot.clear();
    match result {
        Err(_) => Err(Attempt::Unknown("no answer before the deadline".to_owned())),
        Ok(Err(error)) => Err(failed(work, server, error)),
        Ok(Ok((answer, status))) => Ok(Sent {
            started,
            answer,
            status,
        }),
    }
}

/// Sorts a failed attempt by what it says of the outcome.
pub(super) fn failed(work: &Work, server: &str, error: Error) -> Attempt {
    work.handle.on_failure(server, &error);
    match error {
        Error::Server { ref code, .. } if &**code == READ_ONLY => Attempt::NotRun(error),
        Error::Server { .. } => Attempt::Failed(error),
        Error::NotSent { .. } => Attempt::NotRun(error),
        Error::Unknown { why, .. } => Attempt::Unknown(why),
    }
}

/// Says what became of a statement that was sent, once its proof is known.
pub(super) async fn settle(
    context: &mut Context,
    work: &Work,
    server: &Arc<str>,
    term: u64,
    sent: Result<Sent, Attempt>,
) -> Attempt {
    match sent {
        Ok(sent) => acknowledge(context, work, server, term, sent).await,
        Err(attempt) => attempt,
    }
}

/// Holds the answer of a committed write until it is proven that no promotion can undo it.
async fn acknowledge(
    context: &mut Context,
    work: &Work,
    server: &Arc<str>,
    term: u64,
    sent: Sent,
) -> Attempt {
    work.handle.on_status(sent.started, server, &sent.status);
    let status = match sent.status {
        Ok(status) => status,
        Err(error) => return Attempt::Unknown(error.to_string()),
    };
    if status.role != Role::Primary || status.received.term != term {
        return Attempt::Unknown("the primary was replaced".to_owned());
    }
    let position = status.received;
    match context.prove(work, position).await {
        Ack::Proven { .. } => {
            context.raise(position);
            Attempt::Done(sent.answer)
        }
        Ack::Replaced => Attempt::Unknown("the primary was replaced".to_owned()),
        Ack::Wait => Attempt::Unknown("no proof before the deadline".to_owned()),
    }
}

fn retry(work: &Work) -> Span {
    Span::from_millis(work.effective.poll_ms * 2)
}
