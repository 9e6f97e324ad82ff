//! Orders and status questions to servers.

use std::sync::Arc;
use std::time::Duration;

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

/// Longest wait for a server's answer to an order or a status question.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Runs an order on a connection of the pool, if one is free.
pub async fn on_pool(node: &Node, server: &Arc<Server>, statement: &Statement) -> Option<Status> {
    let account = node.revision().accounts.keys().next().cloned()?;
    let deadline = Instant::now() + TIMEOUT / 2;
    let mut lane = server.pool.acquire_any(&account, deadline).await.ok()?;
    let request = Request::internal(statement.clone());
    let replies = lane.exchange(&[request], deadline).await.ok()?;
    let status = lane.status(&replies[0]);
    lane.release();
    status
}

/// Runs an order on a connection of its own, as the pool's may be stuck.
pub async fn apart(
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
                "event=control-refused group={} server={server} statement=\"{statement:?}\" answer=\"{:?}\"",
                group.name,
                reply.outcome
            );
        }
        Ok(status)
    };
    let ran = timeout(TIMEOUT, run).await.unwrap_or_else(|_| {
        Err(Error::Timeout {
            step: "give an order",
            peer: server.to_string(),
        })
    });
    if let Err(error) = &ran {
        log::info!(
            "event=control-failed group={} server={server} why=\"{error}\"",
            group.name
        );
    }
    ran
}

/// Returns whether an error shows that a server is not there any more.
pub fn shows_absence(error: &Error) -> bool {
    // Nobody listens there, or another server does.
    matches!(
        error,
        Error::NotListening { .. }
            | Error::Refused {
                code: Code::OtherServer,
                ..
            }
    )
}
