//! Whether a request may run: its key, its route and its account's rate.

use std::sync::Arc;

use account::key;
use account::rate;
use clock::Span;
use front::Refusal;
use front::Request;
use sql::Kind;
use sql::Statement;
use tokio::time::timeout;

use super::context::Context;
use super::refuse;
use crate::node::Node;
use crate::node::lock;

/// The suggestion when to come back if it is not known whether the key counts.
const RETRY: Span = Span::from_millis(500);

/// Checks that the session's key still counts and that the route is still open to it.
pub(super) fn check_key(context: &Context) -> Result<(), Refusal> {
    let entry = &context.entry;
    let node = &context.node;
    let now = node.now();
    if let Some(id) = &entry.key {
        let decision = lock(&node.keyring).check(now, &entry.account, id);
        match decision {
            key::Decision::Run => {}
            key::Decision::Withdrawn => {
                let refusal = Refusal::fatal("28000", "the key was withdrawn");
                return Err(refusal.not_run(None));
            }
            key::Decision::Unknown => return Err(refuse::unavailable(&entry.route, RETRY)),
        }
    }
    let Some(held) = node.held() else {
        return Err(refuse::unavailable(&entry.route, RETRY));
    };
    let is_allowed = match &entry.key {
        Some(_) => held
            .tree
            .allows(&entry.service, &entry.route, &entry.account),
        None => held
            .tree
            .resolve(&entry.service, &entry.route, None)
            .is_some_and(|effective| effective.open_to_all),
    };
    if is_allowed {
        return Ok(());
    }
    let message = "the account may no longer use the route";
    Err(Refusal::fatal("28000", message).not_run(None))
}

/// Takes the request's tokens, waiting a few milliseconds for some that are known to come.
pub(super) async fn admit(context: &Context, cost: u64) -> Result<(), Refusal> {
    let entry = &context.entry;
    if entry.key.is_none() || cost == 0 {
        return Ok(());
    }
    let node = &context.node;
    let mut since = None;
    let mut waiting = Waiting {
        node,
        account: &entry.account,
        cost,
        is_waiting: false,
    };
    loop {
        let added = node.tokens_added.notified();
        let now = node.now();
        let (decision, is_urgent) = {
            let mut limiter = lock(&node.limiter);
            let decision = limiter.admit(now, &entry.account, cost, since);
            (decision, limiter.is_urgent())
        };
        if is_urgent {
            node.limiter_wake.notify_one();
        }
        match decision {
            rate::Decision::Run => {
                waiting.is_waiting = false;
                return Ok(());
            }
            rate::Decision::Refuse { retry_after } => {
                waiting.is_waiting = false;
                return Err(refuse::over_rate(&entry.account, retry_after));
            }
            rate::Decision::Wait { until } => {
                since.get_or_insert(now);
                waiting.is_waiting = true;
                let left = until.since(now);
                let _elapsed = timeout(left.into(), added).await;
            }
        }
    }
}

/// Tells the limiter, also if the client vanishes, that a request waits no longer.
struct Waiting<'a> {
    node: &'a Arc<Node>,
    account: &'a str,
    cost: u64,
    is_waiting: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.is_waiting {
            lock(&self.node.limiter).cancel(self.account, self.cost);
        }
    }
}

/// Returns how many tokens a request costs: one for each statement that an endpoint runs.
pub(super) fn cost(request: &Request) -> u64 {
    let is_charged = |statement: &&Statement| {
        let is_local = matches!(statement.kind, Kind::Variable(_) | Kind::Refused { .. });
        !is_local && !is_control(statement)
    };
    match request {
        Request::Extended { statement, .. } => u64::from(is_charged(&statement)),
        Request::Simple { statements } => {
            let charged = statements.iter().filter(is_charged).count();
            u64::try_from(charged).unwrap_or(u64::MAX)
        }
    }
}

/// Returns true for statements that begin or end a transaction.
pub(super) fn is_control(statement: &Statement) -> bool {
    matches!(
        statement.kind,
        Kind::Begin { .. } | Kind::Commit | Kind::Rollback
    )
}
