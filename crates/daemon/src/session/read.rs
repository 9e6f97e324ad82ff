//! Reads outside transactions.

use std::sync::Arc;

use account::queue::Class;
use clock::Span;
use clock::Time;
use endpoint::Answer;
use endpoint::Error;
use endpoint::Position;
use endpoint::Query;
use endpoint::Role;
use endpoint::Status;
use front::Refusal;
use session::Floor;
use session::Request;
use session::Route;
use session::Step;
use settings::Priority;
use tokio::time::timeout;

use super::context::Context;
use super::context::Denial;
use super::context::LOOK_EVERY;
use super::context::Work;
use super::refuse;
use crate::group::Link;

/// How often a read is sent at most.
const TRIES: u32 = 4;

/// The suggestion when to come back after a read that found no server.
const RETRY: Span = Span::from_millis(100);

/// Runs a read at a server that shows all that the session saw.
pub(super) async fn run(
    context: &mut Context,
    work: &Work,
    query: &Query,
) -> Result<Answer, Refusal> {
    let mut last = None;
    for _ in 0..TRIES {
        let (server, shown) = choose(context, work).await?;
        let is_down = || !work.handle.is_up(&server);
        let acquired = tokio::select! {
            biased;
            acquired = context.acquire(work, &server, class(work)) => Some(acquired),
            () = context.wait_until(work, is_down) => None,
        };
        let link = match acquired {
            Some(Ok(link)) => link,
            None => continue,
            Some(Err(Denial::Queue(refusal))) => return Err(refusal),
            Some(Err(Denial::Server(error))) => {
                work.handle.on_failure(&server, &error);
                last = Some(error);
                continue;
            }
        };
        match attempt(context, work, &server, link, query).await {
            Ok((answer, status)) => {
                // A server that restarted in between may show less than it was chosen for.
                if status.applied >= shown && accept(context, work, &server, status).await {
                    context.node.meter.read(status.role == Role::Replica);
                    return Ok(answer);
                }
            }
            Err(Error::Server { code, .. }) if is_shutdown(&code) => {}
            Err(error @ Error::Server { .. }) => return Err(error.into()),
            Err(error) => {
                work.handle.on_failure(&server, &error);
                last = Some(error);
            }
        }
        if context.node.now() >= work.deadline {
            return Err(refuse::timeout());
        }
    }
    log::debug!("step=read group={} error={last:?}", context.group);
    Err(refuse::unavailable(&context.group, RETRY))
}

/// Returns true for SQLSTATEs of a server that cannot answer now.
fn is_shutdown(code: &str) -> bool {
    code.starts_with("57P") || code == "53300"
}

/// Waits for a server that fits the session's floor, and returns what it is known to show.
async fn choose(context: &mut Context, work: &Work) -> Result<(Arc<str>, Position), Refusal> {
    let max_age = Some(work.effective.max_age_ms).filter(|age| *age > 0);
    let floor = match max_age {
        // A stated staleness stands in for the unknown floor of a session without its token.
        Some(_) => context.floors.get(&context.group),
        None => floor(context, work).await?,
    };
    let request = Request {
        started: work.started,
        deadline: work.queue_deadline,
        floor,
        max_age: max_age.map(Span::from_millis),
    };
    let router = context.router(work);
    let mut changes = work.handle.changes();
    loop {
        changes.borrow_and_update();
        let (mut replicas, primary) = work.handle.candidates();
        if !work.effective.read_from_replicas {
            replicas.clear();
        }
        let now = context.node.now();
        match router.decide(now, &request, &replicas, primary.as_ref()) {
            Route::Replica(server) => {
                let chosen = replicas.iter().find(|one| one.source.endpoint == server);
                let shown = chosen.map(|one| one.source.applied).unwrap_or_default();
                return Ok((server, shown));
            }
            // A primary shows its whole log from its start on.
            Route::Primary(server) => return Ok((server, Position::default())),
            Route::WaitUntil(until) => work.handle.changed(&mut changes, until).await,
            Route::Refuse { retry_after } => {
                return Err(refuse::unavailable(&context.group, retry_after));
            }
        }
    }
}

/// Returns the session's floor, taking the primary's position if the session came without token.
async fn floor(context: &mut Context, work: &Work) -> Result<Floor, Refusal> {
    let known = context.floors.get(&context.group);
    let Some(mut roaming) = context.roaming else {
        return Ok(known);
    };
    let mut changes = work.handle.changes();
    loop {
        changes.borrow_and_update();
        if let Some((started, position)) = work.handle.view(|view, now| view.confirmed(now)) {
            roaming.on_confirmed(started, position);
        }
        if let Step::Ready(found) = roaming.step() {
            context.raise(found.position());
            return Ok(context.floors.get(&context.group));
        }
        if context.node.now() >= work.queue_deadline {
            return Err(refuse::unavailable(&context.group, RETRY));
        }
        crate::group::hasten(&context.node, &work.handle);
        work.handle.changed(&mut changes, work.queue_deadline).await;
    }
}

/// Returns how urgent the route's reads are.
fn class(work: &Work) -> Class {
    match work.effective.priority {
        Priority::Write => Class::Write,
        Priority::Lookup => Class::Lookup,
    }
}

async fn attempt(
    context: &Context,
    work: &Work,
    server: &str,
    mut lease: Link,
    query: &Query,
) -> Result<(Answer, Status), Error> {
    context.slot.set(lease.canceller());
    let started = context.node.now();
    let left = context.left(work.deadline);
    let given_up = |why: &str| Error::Unknown {
        step: "read",
        peer: Arc::from(server),
        why: why.to_owned(),
    };
    // A read may be sent again, so it does not wait for a server that stopped answering.
    let result = tokio::select! {
        biased;
        result = timeout(left, lease.run_with_status(query)) => result,
        () = context.wait_until(work, || !work.handle.is_up(server)) => {
            context.slot.clear();
            return Err(given_up("the server stopped answering"));
        }
    };
    context.slot.clear();
    let Ok(result) = result else {
        return Err(given_up("timed out"));
    };
    match result {
        Ok((answer, status)) => {
            work.handle.on_status(started, server, &status);
            let status = status?;
            lease.release();
            Ok((answer, status))
        }
        Err(error) => {
            if matches!(error, Error::Server { .. }) {
                work.handle.tell(|view, now| view.on_answer(now, server));
                lease.release();
            }
            Err(error)
        }
    }
}

/// Returns true if the answer may leave: it covers the floor, and what it shows will last.
async fn accept(context: &mut Context, work: &Work, server: &str, status: Status) -> bool {
    let seen = status.applied;
    if work.effective.max_age_ms == 0 && !wait_durable(context, work, seen).await {
        return false;
    }
    match context.floors.observe(&context.group, server, seen) {
        Ok(moved) => {
            context.has_moved |= moved;
            true
        }
        Err(error) => {
            log::warn!("step=read error={error:?}");
            false
        }
    }
}

/// Waits until the log up to `seen` is known to survive any promotion.
async fn wait_durable(context: &Context, work: &Work, seen: Position) -> bool {
    let deadline: Time = work.queue_deadline;
    loop {
        let handle = context.handle(work);
        let mut changes = handle.changes();
        if handle.is_durable(seen) {
            return true;
        }
        if context.node.now() >= deadline {
            return false;
        }
        crate::group::hasten(&context.node, &handle);
        // A handle that is replaced has no further inputs.
        let next = deadline.min(context.node.now() + LOOK_EVERY);
        handle.changed(&mut changes, next).await;
    }
}
