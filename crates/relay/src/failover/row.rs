//! Access to the groups' rows in the table.

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

/// Key prefix of the groups' rows.
const PREFIX: &str = "group/";
/// Timeout of a call to the table.
pub const TABLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Returns the condition and write that replace `before` with `content` if it is unchanged.
pub fn compare_and_set(
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
    let value = serde_json::to_string(content).expect("row content serializes to JSON");
    let write = Write::Put {
        key,
        value: Arc::from(value),
    };
    (condition, write)
}

/// Reads a group's row; `None` if the table does not answer, `Some(None)` if there is no row.
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

/// The rows of all groups as first read by this instance, by key.
pub type Rows = BTreeMap<Arc<str>, Row>;

/// Returns the groups' rows as first read by this instance; the first call reads them.
pub async fn initial(node: &Node) -> Option<&Rows> {
    let read = node.initial_rows.get_or_try_init(async || {
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
        Ok(rows) => Some(rows),
        Err(why) => {
            log::info!("event=group-rows-read-failed why=\"{why}\"");
            None
        }
    }
}
