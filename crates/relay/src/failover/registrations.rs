//! Whether all registered servers of a group are known.

use std::collections::BTreeSet;
use std::sync::Arc;

use store::Progress;
use tokio::time::timeout;

use crate::failover::row::TABLE_TIMEOUT;
use crate::group::Group;
use crate::node::Node;

/// Reads the entries and returns whether the group's are those of runs that are `known` already.
pub async fn are_known(node: &Node, group: &Group, known: &BTreeSet<Arc<str>>) -> bool {
    let progress = Progress::default();
    let read = node.dependencies.servers.read(&progress);
    let batch = match timeout(TABLE_TIMEOUT, read).await {
        Ok(Ok(batch)) => batch,
        failed => {
            let why = failed.map(|read| read.err().map(|error| error.to_string()));
            log::info!("event=entries-unread group={} why=\"{why:?}\"", group.name);
            return false;
        }
    };
    let mut registered = batch.changes.iter().filter_map(|change| {
        let entry = change.value.as_ref()?;
        (entry.group == group.name).then_some((&change.name, entry))
    });
    registered.all(|(name, entry)| {
        let born = group.server(name).map(|server| server.born());
        known.contains(name) && born == Some(entry.born)
    })
}
