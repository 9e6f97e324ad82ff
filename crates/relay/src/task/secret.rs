//! Loads the secret shared by all instances, or creates it.

use std::sync::Arc;
use std::time::Duration;

use rand::RngCore;
use store::Condition;
use store::Error;
use store::Outcome;
use store::Write;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::node::Node;
use crate::task::call::CALL_TIMEOUT;

/// Key of the row that holds the secret.
const KEY: &str = "fleet/secret";
/// Length of the secret.
const SECRET_BYTES: usize = 32;
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Retries until the secret is loaded.
pub async fn run(node: Arc<Node>) {
    loop {
        match timeout(CALL_TIMEOUT, fetch_or_create(&node)).await {
            Ok(Ok(Some(secret))) => {
                node.peers.set_secret(secret.as_bytes());
                node.forwarder.set_secret(secret.as_bytes());
                return;
            }
            // The answer to the write did not show the row; the next read does.
            Ok(Ok(None)) => {}
            failed => {
                log::debug!("event=secret-read-failed why=\"{failed:?}\"");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads the secret, or creates it if there is none; `None` if it is not known who created it.
async fn fetch_or_create(node: &Node) -> Result<Option<Arc<str>>, Error> {
    if let Some(row) = node.dependencies.table.get(KEY).await? {
        return Ok(Some(row.value));
    }
    let mut secret = [0; SECRET_BYTES];
    rand::rng().fill_bytes(&mut secret);
    let text: String = secret.iter().map(|byte| format!("{byte:02x}")).collect();
    let key: Arc<str> = Arc::from(KEY);
    let conditions = vec![Condition::Absent {
        key: Arc::clone(&key),
    }];
    // Row values are JSON, so the secret is stored as a quoted string.
    let value: Arc<str> = Arc::from(format!("\"{text}\""));
    let write = Write::Put {
        key,
        value: Arc::clone(&value),
    };
    let outcome = node.dependencies.table.commit(conditions, vec![write]);
    Ok(match outcome.await? {
        Outcome::Committed { .. } => Some(value),
        // Instances that start together all try to create it.
        Outcome::Conflict { rows } => rows.into_iter().next().map(|row| row.value),
    })
}
