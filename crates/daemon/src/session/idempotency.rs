//! Writes with an idempotency key: recorded with their answer in the same transaction.

use std::sync::Arc;

use bytes::Bytes;
use endpoint::Answer;
use endpoint::Error;
use endpoint::Query;
use front::Refusal;
use tokio::time::timeout;

use super::context::Context;
use super::context::Work;
use super::refuse;
use super::replay;
use super::write;
use super::write::Attempt;
use super::write::Sent;
use crate::group::Link;

/// Creates the table of recorded requests.
const CREATE: &str = "CREATE TABLE IF NOT EXISTS yuccamount_request (\
    account TEXT NOT NULL, key TEXT NOT NULL, fingerprint TEXT NOT NULL, answer TEXT, \
    created_ms BIGINT NOT NULL, PRIMARY KEY (account, key))";
/// Records a request; changes nothing if its key was used before.
const INSERT: &str = "INSERT INTO yuccamount_request (account, key, fingerprint, created_ms) \
    VALUES ($1, $2, $3, $4) ON CONFLICT (account, key) DO NOTHING";
/// Records the answer.
const UPDATE: &str = "UPDATE yuccamount_request SET answer = $3 WHERE account = $1 AND key = $2";
/// Reads a recorded request.
const SELECT: &str =
    "SELECT fingerprint, answer FROM yuccamount_request WHERE account = $1 AND key = $2";
/// SQLSTATE of a missing table.
const NO_TABLE: &str = "42P01";
/// Object identifier of the type `text`.
const TEXT: u32 = 25;
/// Object identifier of the type `bigint`.
const BIGINT: u32 = 20;
/// Bytes of the longest key.
const KEY_BYTES_MAX: usize = 200;

/// A request with its key.
pub(super) struct Keyed<'a> {
    pub(super) key: &'a str,
    pub(super) statement: &'a sql::Statement,
    pub(super) query: &'a Query,
}

/// Runs a write so that all requests with its key together take effect at most once.
pub(super) async fn run(
    context: &mut Context,
    work: &Work,
    keyed: &Keyed<'_>,
) -> Result<Answer, Refusal> {
    if keyed.key.is_empty() || keyed.key.len() > KEY_BYTES_MAX {
        let message = "an idempotency key has 1 to 200 bytes";
        return Err(refuse::invalid("22023", message));
    }
    let mut is_in_doubt = false;
    loop {
        let found = write::primary(context, work).await;
        let (mut lease, server, term) = found.map_err(|refusal| doubt(is_in_doubt, refusal))?;
        context.slot.set(lease.canceller());
        let left = context.left(work.deadline);
        let once = once(context, work, &mut lease, &server, keyed);
        let is_replaced = || !work.handle.is_primary(&server, term);
        let unknown = |why: &str| Err(Attempt::Unknown(why.to_owned()));
        let sent = tokio::select! {
            biased;
            sent = timeout(left, once) => sent.unwrap_or_else(|_| unknown("timed out")),
            () = context.wait_until(work, is_replaced) => unknown("the primary was replaced"),
        };
        context.slot.clear();
        write::finish(lease, sent.as_ref().err());
        match write::settle(context, work, &server, term, sent).await {
            Attempt::Done(answer) => return Ok(answer),
            // The key's row is missing or locked, so no earlier attempt has taken effect.
            Attempt::Failed(error) => return Err(error.into()),
            Attempt::NotRun(error) => {
                log::debug!("step=keyed-write group={} error={error:?}", context.group);
            }
            Attempt::Unknown(why) if context.node.now() >= work.queue_deadline => {
                return Err(refuse::unknown(&why));
            }
            // Asking again under the same key gives the first answer or runs it once.
            Attempt::Unknown(_) => is_in_doubt = true,
        }
        let paused = write::pause(context, work).await;
        paused.map_err(|refusal| doubt(is_in_doubt, refusal))?;
    }
}

/// Turns a refusal into an unknown outcome if an earlier attempt may have taken effect.
fn doubt(is_in_doubt: bool, refusal: Refusal) -> Refusal {
    if !is_in_doubt {
        return refusal;
    }
    let retry_after_ms = refusal.retry_after_ms;
    let unknown = refuse::unknown("repeat the request with the same key to learn it");
    Refusal {
        retry_after_ms,
        ..unknown
    }
}

async fn once(
    context: &Context,
    work: &Work,
    lease: &mut Link,
    server: &Arc<str>,
    keyed: &Keyed<'_>,
) -> Result<Sent, Attempt> {
    let fingerprint = replay::fingerprint(keyed.statement, keyed.query);
    let before = prepare(context, lease, keyed, &fingerprint).await;
    let answer = match before {
        Ok(answer) => answer,
        Err(error) => return Err(not_committed(work, lease, server, error).await),
    };
    let started = context.node.now();
    match lease.run_with_status(&simple("COMMIT")).await {
        Ok((_, status)) => Ok(Sent {
            started,
            answer,
            status,
        }),
        Err(error) => Err(write::failed(work, server, error)),
    }
}

/// Runs everything before the commit and returns the answer to be given after it.
async fn prepare(
    context: &Context,
    lease: &mut Link,
    keyed: &Keyed<'_>,
    fingerprint: &str,
) -> Result<Answer, Error> {
    let account = owner(context);
    let insert = extended(
        INSERT,
        &[TEXT, TEXT, TEXT, BIGINT],
        vec![
            text(&account),
            text(keyed.key),
            text(fingerprint),
            Some(Bytes::copy_from_slice(&created_ms(context).to_be_bytes())),
        ],
    );
    lease.run(&simple("BEGIN")).await?;
    let mut inserted = lease.run(&insert).await;
    if is_missing_table(&inserted) {
        lease.run(&simple("ROLLBACK")).await?;
        lease.run(&simple(CREATE)).await?;
        lease.run(&simple("BEGIN")).await?;
        inserted = lease.run(&insert).await;
    }
    let is_first = inserted?.replies.iter().any(|reply| reply.affected > 0);
    if !is_first {
        return recorded(context, lease, keyed, fingerprint).await;
    }
    let answer = lease.run(keyed.query).await?;
    let update = extended(
        UPDATE,
        &[TEXT, TEXT, TEXT],
        vec![
            text(&account),
            text(keyed.key),
            text(&replay::encode(&answer)),
        ],
    );
    lease.run(&update).await?;
    Ok(answer)
}

/// Returns whose key it is; on a route open to all nobody proved the account's name.
fn owner(context: &Context) -> String {
    let entry = &context.entry;
    match entry.key {
        Some(_) => entry.account.to_string(),
        // No account has a slash in its name.
        None => format!("open/{}", entry.account),
    }
}

/// Returns the recorded answer of the first request with the key.
async fn recorded(
    context: &Context,
    lease: &mut Link,
    keyed: &Keyed<'_>,
    fingerprint: &str,
) -> Result<Answer, Error> {
    let values = vec![text(&owner(context)), text(keyed.key)];
    let found = lease.run(&extended(SELECT, &[TEXT, TEXT], values)).await?;
    let row = found.replies.first().and_then(|reply| reply.rows.first());
    let column = |index: usize| row.and_then(|row| row.get(index).cloned().flatten());
    let (Some(first), Some(answer)) = (column(0), column(1)) else {
        return Err(conflict(context, "the key's first answer was not recorded"));
    };
    if first != fingerprint.as_bytes() {
        let why = "the idempotency key was used for another statement";
        return Err(conflict(context, why));
    }
    let answer = replay::decode(&answer);
    answer.ok_or_else(|| conflict(context, "the key's first answer is damaged"))
}

/// Sorts a failure before the commit was sent: nothing can have taken effect.
async fn not_committed(work: &Work, lease: &mut Link, server: &Arc<str>, error: Error) -> Attempt {
    match write::failed(work, server, error) {
        Attempt::Failed(error) => match lease.run(&simple("ROLLBACK")).await {
            Ok(_) => Attempt::Failed(error),
            Err(lost) => Attempt::NotRun(unsent(server, &lost)),
        },
        // The connection is dropped, and the server rolls the transaction back.
        Attempt::Unknown(why) => Attempt::NotRun(Error::NotSent {
            step: "keyed-write",
            peer: Arc::clone(server),
            why,
        }),
        Attempt::NotRun(error) => Attempt::NotRun(unsent(server, &error)),
        Attempt::Done(answer) => Attempt::Done(answer),
    }
}

fn unsent(server: &Arc<str>, error: &Error) -> Error {
    Error::NotSent {
        step: "keyed-write",
        peer: Arc::clone(server),
        why: error.to_string(),
    }
}

fn conflict(context: &Context, why: &str) -> Error {
    Error::Server {
        step: "keyed-write",
        peer: Arc::clone(&context.group),
        code: Arc::from("22023"),
        message: why.to_owned(),
        detail: None,
        hint: Some("use a new key for a new request".to_owned()),
    }
}

fn is_missing_table(result: &Result<Answer, Error>) -> bool {
    matches!(result, Err(Error::Server { code, .. }) if &**code == NO_TABLE)
}

fn created_ms(context: &Context) -> i64 {
    i64::try_from(context.node.clock.wall_ms()).unwrap_or(i64::MAX)
}

fn simple(text: &str) -> Query {
    Query::Simple {
        text: Arc::from(text),
    }
}

fn extended(statement: &str, types: &[u32], values: Vec<Option<Bytes>>) -> Query {
    Query::Extended {
        text: Arc::from(statement),
        types: types.to_vec(),
        values,
    }
}

fn text(value: &str) -> Option<Bytes> {
    Some(Bytes::copy_from_slice(value.as_bytes()))
}
