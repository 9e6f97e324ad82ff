//! Reads the rows of all groups with one table request.

use std::sync::Arc;
use std::time::Duration;

use clock::Time;
use store::Row;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::group::Handle;
use crate::node::Node;

/// The period of reads of the group rows.
const READ_PERIOD: Duration = Duration::from_millis(150);

/// The key prefix of the group rows.
const PREFIX: &str = "group/";

/// Reads the group rows until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut ticks = interval(READ_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let handles = node.all_groups();
        if handles.is_empty() {
            continue;
        }
        let started = node.now();
        let rows = node.table.list(PREFIX).await;
        for handle in handles {
            match &rows {
                Ok(rows) => pass_row(&handle, started, rows),
                Err(_) => handle.input(|view, now| view.on_table_failed(now)),
            }
        }
    }
}

fn pass_row(handle: &Handle, started: Time, rows: &[Row]) {
    let key = group::Row::key(&handle.name);
    let found = rows.iter().find(|row| row.key == key);
    handle.on_row(started, found);
}
