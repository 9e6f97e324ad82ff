//! Operators who race each other with conflicting changes.

use std::time::Duration;

use reqwest::Method;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::deployment::Deployment;
use crate::deployment::WRITE_TOKEN;
use crate::http::Http;

/// The path that both operators change; its value has no effect on the run.
const PATH: &str = "values/idempotency_retention_s";
/// The least value of that setting.
const LEAST: u64 = 60;
/// Time within which an accepted change must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);
/// Pause between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// What was accepted.
struct Accepted {
    revision: u64,
    value: u64,
}

/// Two operators at two instances.
pub(super) struct Operators {
    http: Http,
    deployment: Deployment,
    accepted: Vec<Accepted>,
}

impl Operators {
    pub(super) fn open(http: Http, deployment: Deployment) -> Self {
        Self {
            http,
            deployment,
            accepted: Vec::new(),
        }
    }

    /// Submits two changes of the same setting at once, each against the revision that it sees.
    pub(super) async fn race(&mut self, number: u32) {
        let count = self.deployment.instances.len();
        // CAST: races are few.
        let (one, other) = (number as usize % count, (number as usize + 1) % count);
        let value = LEAST + 2 * u64::from(number);
        let (first, second) = tokio::join!(
            self.submit(one, format!("race-{number}-a"), value),
            self.submit(other, format!("race-{number}-b"), value + 1),
        );
        self.accepted.extend(first);
        self.accepted.extend(second);
    }

    async fn submit(&self, instance: usize, id: String, value: u64) -> Option<Accepted> {
        let admin = format!("http://{}", self.deployment.admin(instance));
        let tree = self.tree(instance).await?;
        let change = json!({
            "id": id,
            "base": tree["revision"],
            "operations": [{"path": PATH, "value": value}],
        });
        let url = format!("{admin}/v1/changes");
        let call = self
            .http
            .call(Method::POST, &url, Some(WRITE_TOKEN), Some(&change));
        let (status, answer) = call.await.ok()?;
        let revision = answer["accepted"]["record"]["revision"].as_u64()?;
        status.is_success().then_some(Accepted { revision, value })
    }

    async fn tree(&self, instance: usize) -> Option<Value> {
        let url = format!("http://{}/v1/tree", self.deployment.admin(instance));
        self.http.get(&url, Some(WRITE_TOKEN)).await.ok()
    }

    /// Returns what is wrong with the accepted changes: each has its own revision, and the last
    /// one is in force at every instance in time.
    pub(super) async fn check(&self) -> Vec<String> {
        let Some(last) = self.accepted.iter().max_by_key(|change| change.revision) else {
            return Vec::new();
        };
        let mut revisions: Vec<u64> = self.accepted.iter().map(|change| change.revision).collect();
        revisions.sort_unstable();
        let mut wrong = Vec::new();
        if revisions.windows(2).any(|pair| pair[0] == pair[1]) {
            wrong.push(format!("one revision was accepted twice: {revisions:?}"));
        }
        let until = Instant::now() + IN_FORCE;
        for instance in 0..self.deployment.instances.len() {
            if let Some(seen) = self.wait_for(instance, last, until).await {
                let name = self.deployment.instance(instance);
                wrong.push(format!("instance={name} wanted={} seen={seen}", last.value));
            }
        }
        wrong
    }

    /// Returns what an instance has in force if it is not the change.
    async fn wait_for(&self, instance: usize, last: &Accepted, until: Instant) -> Option<Value> {
        loop {
            let tree = self.tree(instance).await.unwrap_or_default();
            let seen = tree["tree"]["values"]["idempotency_retention_s"].clone();
            if seen.as_u64() == Some(last.value) {
                return None;
            }
            if Instant::now() >= until {
                return Some(seen);
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
}
