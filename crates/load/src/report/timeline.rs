//! The time line of all instances.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use timeline::Event;
use timeline::Timestamp;

use crate::Error;
use crate::deployment::Deployment;
use crate::deployment::READ_TOKEN;
use crate::http::Http;

/// Pause between two collections.
const COLLECT_INTERVAL: Duration = Duration::from_secs(1);

/// Collects events while a run goes on, so that those of killed instances are kept.
pub struct Timeline {
    http: Http,
    deployment: Deployment,
    /// By stamp and instance, so that nothing is kept twice.
    events: BTreeMap<(Timestamp, Arc<str>), Event>,
    /// The last stamp seen of each instance.
    after: Vec<Timestamp>,
}

impl Timeline {
    /// Opens an empty time line.
    pub fn open(deployment: Deployment) -> Result<Self, Error> {
        Ok(Self {
            http: Http::open()?,
            after: vec![Timestamp::default(); deployment.instances.len()],
            deployment,
            events: BTreeMap::new(),
        })
    }

    /// Collects until `stop` says so, and once more.
    pub async fn run(mut self, mut stop: tokio::sync::oneshot::Receiver<()>) -> Self {
        loop {
            let stopped = tokio::time::timeout(COLLECT_INTERVAL, &mut stop)
                .await
                .is_ok();
            for instance in 0..self.after.len() {
                self.collect(instance).await;
            }
            if stopped {
                return self;
            }
        }
    }

    async fn collect(&mut self, instance: usize) {
        let after = self.after[instance];
        let admin = self.deployment.admin(instance);
        let url = format!(
            "http://{admin}/v1/timeline?after_ms={}&after_count={}",
            after.wall_ms, after.count
        );
        let call = self.http.get(&url, Some(READ_TOKEN));
        // A paused or cut-off instance must not hold up the others.
        let Ok(Ok(answer)) = tokio::time::timeout(COLLECT_INTERVAL, call).await else {
            return;
        };
        let events: Vec<Event> = serde_json::from_value(answer).unwrap_or_default();
        for event in events {
            self.after[instance] = self.after[instance].max(event.stamp);
            let key = (event.stamp, Arc::clone(&event.instance));
            self.events.insert(key, event);
        }
    }

    /// Writes one line an event, cause before effect.
    pub fn write(&self, path: &Path) -> Result<(), Error> {
        let lines: Vec<String> = self.events.values().map(ToString::to_string).collect();
        let text = lines.join("\n") + "\n";
        std::fs::write(path, text).map_err(|error| Error::file("write", path, error))
    }
}
