//! Learns the secret that all instances share, or makes one.

use std::sync::Arc;
use std::time::Duration;

use rand::RngCore;
use store::Condition;
use store::Error;
use store::Write;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::node::Node;
use crate::task::call::CALL_TIMEOUT;

/// The row that holds the secret.
const KEY: &str = "fleet/secret";
/// Bytes of the secret.
const SECRET_BYTES: usize = 32;
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(300);

/// Tries until the secret is known.
pub async fn run(node: Arc<Node>) {
    loop {
        match timeout(CALL_TIMEOUT, fetch(&node)).await {
            Ok(Ok(Some(secret))) => {
                node.peers.set_secret(secret.as_bytes());
                return;
            }
            // It was just made, by this instance or another one; the next read shows it.
            Ok(Ok(None)) => {}
            failed => {
                log::debug!("event=secret-unread why=\"{failed:?}\"");
                sleep(PAUSE).await;
            }
        }
    }
}

/// Reads the secret; if there is none, makes one and returns `None`.
async fn fetch(node: &Node) -> Result<Option<Arc<str>>, Error> {
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
    // The quotes make it a JSON text, which rows hold.
    let value = Arc::from(format!("\"{text}\""));
    node.dependencies
        .table
        .commit(conditions, vec![Write::Put { key, value }])
        .await?;
    Ok(None)
}
