//! Latency of a direct connection to a server in the same run.

use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::Instant;
use tokio_postgres::Client;

use crate::Error;
use crate::deployment::Deployment;
use crate::setup;

/// Pause between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for one statement.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest latency that is kept, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// Latencies in microseconds.
pub struct Probe {
    /// Of reads.
    pub reads: Histogram<u64>,
    /// Of writes.
    pub writes: Histogram<u64>,
}

/// Opens an empty histogram.
pub(crate) fn histogram() -> Histogram<u64> {
    let made = Histogram::new_with_bounds(1, LONGEST_US, 3);
    made.expect("the bounds are constants that the library allows")
}

impl Probe {
    /// Opens an empty probe.
    pub fn open() -> Self {
        Self {
            reads: histogram(),
            writes: histogram(),
        }
    }

    /// Probes the primary of the first group until `until`.
    pub async fn run(mut self, deployment: Deployment, until: Instant) -> Self {
        let mut client = None;
        while Instant::now() < until {
            if client.is_none() {
                client = connect(&deployment).await.ok();
            }
            if let Some(connected) = &client
                && !self.once(connected).await
            {
                client = None;
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        self
    }

    async fn once(&mut self, client: &Client) -> bool {
        let read = "SELECT version FROM probe WHERE id = 1";
        let write = "UPDATE probe SET version = version + 1 WHERE id = 1";
        let read = timed(client, read, &mut self.reads).await;
        let write = timed(client, write, &mut self.writes).await;
        read && write
    }
}

async fn timed(client: &Client, text: &str, into: &mut Histogram<u64>) -> bool {
    let begun = Instant::now();
    let done = tokio::time::timeout(PROBE_TIMEOUT, client.query_typed(text, &[])).await;
    let us = u64::try_from(begun.elapsed().as_micros()).unwrap_or(LONGEST_US);
    let done = matches!(done, Ok(Ok(_)));
    if done {
        into.saturating_record(us);
    }
    done
}

async fn connect(deployment: &Deployment) -> Result<Client, Error> {
    let server = setup::primary_index(deployment, 0).await?;
    setup::connect(&deployment.direct_link(0, server)).await
}
