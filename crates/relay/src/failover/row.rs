//! Reads of single rows of the table.

use std::time::Duration;

use store::Row;
use tokio::time::timeout;

use crate::group::Group;
use crate::node::Node;

/// Longest wait for a call to the table.
pub const TABLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Reads a row of a group; `None` if the table does not answer.
pub async fn read(node: &Node, group: &Group, key: &str) -> Option<Option<Row>> {
    match timeout(TABLE_TIMEOUT, node.parts.table.get(key)).await {
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
