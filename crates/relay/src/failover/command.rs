//! Control commands and status queries sent to servers.

use std::sync::Arc;
use std::time::Duration;

use endpoint::Position;
use endpoint::Role;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::Error;
use crate::external::Status;
use crate::external::Target;
use crate::group::Group;
use crate::group::Server;
use crate::message::Code;
use crate::message::Request;
use crate::message::Statement;
use crate::node::Node;
use crate::settings;

/// Maximum wait for a server's reply to a command or status query.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// Queries a server's replication state; `None` if it doesn't answer.
pub async fn status(node: &Node, server: &Arc<Server>) -> Option<Status> {
    run_pooled(node, server, &Statement::Status).await
}

/// Runs a command on a pooled connection; `None` if that fails.
pub async fn run_pooled(
    node: &Node,
    server: &Arc<Server>,
    statement: &Statement,
) -> Option<Status> {
    let account = node.revision().accounts.keys().next().cloned()?;
    let deadline = Instant::now() + COMMAND_TIMEOUT / 2;
    let mut connection = server.pool.acquire_any(&account, deadline).await.ok()?;
    let request = Request::internal(statement.clone());
    let replies = connection.exchange(&[request], deadline).await.ok()?;
    let status = connection.status(&replies[0]);
    connection.release();
    status
}

/// Runs a command on a new connection, as pooled connections may be stuck.
///
/// `Ok(None)` means that the server refused the command or that no account is configured yet.
/// Errors come from connecting, sending and receiving, or are `Error::Timeout` after a timeout.
pub async fn run_dedicated(
    node: &Node,
    group: &Group,
    server: &Arc<str>,
    entry: &settings::Server,
    statement: &Statement,
) -> Result<Option<Status>, Error> {
    let Some(account) = node.revision().accounts.keys().next().cloned() else {
        return Ok(None);
    };
    let target = Target {
        group: Arc::clone(&group.name),
        server: Arc::clone(server),
        address: entry.address,
        account,
    };
    let run = async {
        let mut connection = node.dependencies.connector.open(&target).await?;
        let request = Request::internal(statement.clone());
        connection.send(std::slice::from_ref(&request)).await?;
        let reply = connection.receive().await?;
        let status = connection.status(&reply);
        if status.is_none() {
            log::info!(
                "event=command-refused group={} server={server} statement=\"{statement:?}\" answer=\"{:?}\"",
                group.name,
                reply.outcome
            );
        }
        Ok(status)
    };
    let ran = timeout(COMMAND_TIMEOUT, run).await.unwrap_or_else(|_| {
        Err(Error::Timeout {
            step: "run a control command",
            peer: server.to_string(),
        })
    });
    if let Err(error) = &ran {
        log::info!(
            "event=command-failed group={} server={server} why=\"{error}\"",
            group.name
        );
    }
    ran
}

/// Demotes a primary that another instance replaces; returns its last position if it leads no more.
pub async fn demote(
    node: &Node,
    group: &Group,
    server: &Arc<Server>,
    term: u64,
) -> Option<Position> {
    let status = run_pooled(node, server, &Statement::Demote { term }).await;
    let Some(status) = status.filter(|status| status.role != Role::Primary) else {
        log::info!(
            "event=demotion-failed group={} server={} term={term}",
            group.name,
            server.name
        );
        return None;
    };
    log::info!(
        "event=primary-demoted group={} server={} position={}",
        group.name,
        server.name,
        status.received
    );
    group.on_not_leader(&server.name);
    Some(status.received)
}

/// Returns whether an error proves that a server is gone from its address.
pub fn shows_server_gone(error: &Error) -> bool {
    // Either nothing listens there or a different server does.
    matches!(
        error,
        Error::NotListening { .. }
            | Error::Refused {
                code: Code::OtherServer,
                ..
            }
    )
}
