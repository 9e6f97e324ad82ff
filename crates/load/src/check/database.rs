//! What the database kept at the end of a run.

use std::collections::BTreeMap;

use crate::Error;
use crate::deployment::Deployment;
use crate::setup;

/// The rows of all groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    /// How often each request's row is there.
    pub requests: BTreeMap<String, u64>,
    /// The version of each caller's row.
    pub versions: BTreeMap<String, i64>,
}

/// Reads the rows at the primaries of the highest terms.
pub async fn read_kept(deployment: &Deployment) -> Result<Kept, Error> {
    let mut kept = Kept::default();
    for group in 0..deployment.groups.len() {
        let (client, peer) = setup::primary(deployment, group).await?;
        let failed = |error: tokio_postgres::Error| Error::peer("read rows", &peer, error);
        let text = "SELECT request, count(*) AS times FROM items GROUP BY request";
        for row in client.query_typed(text, &[]).await.map_err(failed)? {
            let times: i64 = row.get(1);
            let times = u64::try_from(times).unwrap_or_default();
            *kept.requests.entry(row.get(0)).or_default() += times;
        }
        let text = "SELECT caller, version FROM progress";
        for row in client.query_typed(text, &[]).await.map_err(failed)? {
            kept.versions.insert(row.get(0), row.get(1));
        }
    }
    Ok(kept)
}
