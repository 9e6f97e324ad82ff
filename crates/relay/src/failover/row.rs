//! Rows of groups in the table.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use store::Condition;
use store::Row;
use store::Write;
use tokio::time::timeout;

use crate::group::Group;
use crate::node::Node;

/// The prefix of the rows of groups.
const PREFIX: &str = "group/";
/// Longest wait for a call to the table.
pub const TABLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Returns the condition and the write that put `content` in the place of `before`.
pub fn replace(
    key: Arc<str>,
    before: Option<&Row>,
    content: &impl Serialize,
) -> (Condition, Write) {
    let condition = match before {
        Some(row) => Condition::Version {
            key: Arc::clone(&key),
            version: row.version,
        },
        None => Condition::Absent {
            key: Arc::clone(&key),
        },
    };
    let value = serde_json::to_string(content).expect("rows hold only plain values");
    let write = Write::Put {
        key,
        value: Arc::from(value),
    };
    (condition, write)
}

/// Reads a row of a group; `None` if the table does not answer.
pub async fn read(node: &Node, group: &Group, key: &str) -> Option<Option<Row>> {
    match timeout(TABLE_TIMEOUT, node.dependencies.table.get(key)).await {
        Ok(Ok(row)) => Some(row),
        failed => {
            log::info!(
                "event=row-unread group={} row={key} why=\"{failed:?}\"",
                group.name
            );
            None
        }
    }
}

/// The rows of all groups as an instance found them at its start, by key.
pub type Found = BTreeMap<Arc<str>, Row>;

/// Returns the rows of all groups as this instance found them, reading them the first time.
pub async fn found(node: &Node) -> Option<&Found> {
    let read = node.found.get_or_try_init(async || {
        let list = node.dependencies.table.list(PREFIX);
        match timeout(TABLE_TIMEOUT, list).await {
            Ok(Ok(rows)) => Ok(rows
                .into_iter()
                .map(|row| (Arc::clone(&row.key), row))
                .collect()),
            failed => Err(format!("{failed:?}")),
        }
    });
    match read.await {
        Ok(found) => Some(found),
        Err(why) => {
            log::info!("event=group-rows-unread why=\"{why}\"");
            None
        }
    }
}
