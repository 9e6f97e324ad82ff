//! Carries out the steps that go through control and admin ports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use reqwest::Method;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use super::Action;
use super::Step;
use super::operators::Operators;
use crate::Error;
use crate::check::Breach;
use crate::deployment::Deployment;
use crate::deployment::WRITE_TOKEN;
use crate::http::Http;
use crate::setup;
use crate::work::Stage;

/// Carries out a plan during a run.
pub struct Injector {
    stage: Arc<Stage>,
    http: Http,
    /// The server of each group that a step has taken away.
    taken: BTreeMap<usize, usize>,
    operators: Operators,
    /// When each account's key was withdrawn.
    withdrawn: BTreeMap<usize, Duration>,
    watches: JoinSet<()>,
}

impl Injector {
    /// Opens an injector.
    pub fn open(stage: Arc<Stage>) -> Result<Self, Error> {
        let http = Http::open()?;
        Ok(Self {
            operators: Operators::open(http.clone(), stage.deployment.clone()),
            stage,
            http,
            taken: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            watches: JoinSet::new(),
        })
    }

    /// Carries out the steps when they are due; returns when each account's key was withdrawn.
    pub async fn run(mut self, steps: Vec<Step>) -> BTreeMap<usize, Duration> {
        for step in steps {
            tokio::time::sleep_until(self.stage.start + step.at).await;
            eprintln!(
                "fault at_ms={} action={:?}",
                step.at.as_millis(),
                step.action
            );
            if let Err(error) = self.act(&step.action).await {
                eprintln!("fault error={:?}", error.to_string());
            }
        }
        while self.watches.join_next().await.is_some() {}
        for text in self.operators.check().await {
            self.stage.violate(Breach::RevertedSettings, text);
        }
        self.withdrawn
    }

    async fn act(&mut self, action: &Action) -> Result<(), Error> {
        let platform = self.stage.deployment.platform_control();
        match *action {
            Action::KillPrimary { group } => {
                let server = self.take_primary(group).await?;
                self.server(group, server, "kill").await
            }
            Action::RestartServer { group } => match self.taken.remove(&group) {
                Some(server) => self.server(group, server, "restart").await,
                None => Ok(()),
            },
            Action::IsolatePrimary { group } => {
                let server = self.take_primary(group).await?;
                self.zone(group, server, true).await
            }
            Action::RejoinPrimary { group } => match self.taken.remove(&group) {
                Some(server) => self.zone(group, server, false).await,
                None => Ok(()),
            },
            Action::Lag { ms } => self.lag(ms).await,
            Action::Zone { zone, cut } => {
                let zone = self.stage.deployment.zones[zone];
                self.zones(zone, cut).await?;
                let pair = json!({"a": zone, "b": "platform"});
                let links = self.stage.deployment.link_control();
                self.post(&links, what(cut), pair).await
            }
            Action::TableDown { down } => self.post(&platform, "down", json!({"down": down})).await,
            Action::TableSlow { ms } => self.post(&platform, "slow", json!({"ms": ms})).await,
            Action::LoseAnswers { probability, seed } => {
                let body = json!({"probability": probability, "seed": seed});
                self.post(&platform, "lose-answers", body).await
            }
            Action::WithdrawKey { account } => self.withdraw(account).await,
            Action::Handover { group } => {
                let deployment = &self.stage.deployment;
                let name = deployment.groups[group].name;
                let url = format!("http://{}/v1/groups/{name}/handover", deployment.admin(0));
                let ordered = self.http.post(&url, Some(WRITE_TOKEN), &Value::Null);
                ordered.await.map(|_| ())
            }
            Action::Leave { group } => self.leave(group).await,
            Action::Race { number } => {
                self.operators.race(number).await;
                Ok(())
            }
            Action::Signal { .. } | Action::Start { .. } => Ok(()),
        }
    }

    async fn take_primary(&mut self, group: usize) -> Result<usize, Error> {
        let server = setup::primary_index(&self.stage.deployment, group).await?;
        self.taken.insert(group, server);
        Ok(server)
    }

    async fn post(&self, control: &str, path: &str, body: Value) -> Result<(), Error> {
        let url = format!("http://{control}/{path}");
        self.http.post(&url, None, &body).await.map(|_| ())
    }

    async fn server(&self, group: usize, server: usize, what: &str) -> Result<(), Error> {
        let deployment = &self.stage.deployment;
        let path = format!("server/{}/{what}", deployment.server(group, server));
        self.post(&deployment.group_control(group), &path, Value::Null)
            .await
    }

    async fn lag(&self, ms: u64) -> Result<(), Error> {
        for group in 0..self.stage.deployment.groups.len() {
            let control = self.stage.deployment.group_control(group);
            self.post(&control, "lag", json!({"ms": ms})).await?;
        }
        Ok(())
    }

    /// Cuts the zone of a server off from the other zones, or heals that.
    async fn zone(&self, group: usize, server: usize, cut: bool) -> Result<(), Error> {
        let zone = self.stage.deployment.server_zone(group, server);
        self.zones(zone, cut).await
    }

    /// Cuts a zone off from all other zones, replication included, or heals that.
    async fn zones(&self, zone: &str, cut: bool) -> Result<(), Error> {
        let deployment = &self.stage.deployment;
        let links = deployment.link_control();
        for other in deployment.zones.iter().filter(|other| **other != zone) {
            let pair = json!({"a": zone, "b": other});
            self.post(&links, what(cut), pair).await?;
        }
        for group in 0..deployment.groups.len() {
            for (a, b) in split(deployment, group, zone) {
                let a = deployment.server(group, a);
                let b = deployment.server(group, b);
                let pair = json!({"a": a, "b": b});
                let control = deployment.group_control(group);
                self.post(&control, what(cut), pair).await?;
            }
        }
        Ok(())
    }

    /// Has the roster say that a primary is leaving, and later reads what it has run by then.
    async fn leave(&mut self, group: usize) -> Result<(), Error> {
        let deployment = &self.stage.deployment;
        let server = setup::primary_index(deployment, group).await?;
        let name = deployment.server(group, server);
        let roster = setup::roster(deployment, Some(&name));
        self.post(&deployment.platform_control(), "roster", roster)
            .await?;
        let stage = Arc::clone(&self.stage);
        let http = self.http.clone();
        self.watches
            .spawn(watch_leaving(stage, http, group, server));
        Ok(())
    }

    async fn withdraw(&mut self, account: usize) -> Result<(), Error> {
        let name = self.stage.deployment.accounts[account].name;
        let admin = self.stage.deployment.admin(0);
        let id = self.stage.keys.get(name).map_or("", |key| &key.id);
        let url = format!("http://{admin}/v1/accounts/{name}/keys/{id}?change=withdraw-{name}");
        let call = self
            .http
            .call(Method::DELETE, &url, Some(WRITE_TOKEN), None);
        let (status, answer) = call.await?;
        if !status.is_success() {
            return Err(Error::peer("withdraw key", &url, answer));
        }
        self.withdrawn.insert(account, self.stage.now());
        Ok(())
    }
}

/// Time after which a leaving endpoint must get no new work.
const LEAVING_WITHIN: Duration = Duration::from_secs(5);
/// Time for which a leaving endpoint is watched after that.
const LEAVING_WATCHED: Duration = Duration::from_secs(3);

/// Sees to it that a leaving server gets no new work after a few seconds.
async fn watch_leaving(stage: Arc<Stage>, http: Http, group: usize, server: usize) {
    tokio::time::sleep(LEAVING_WITHIN).await;
    let before = setup::server_reads(&http, &stage.deployment, group, server)
        .await
        .ok();
    tokio::time::sleep(LEAVING_WATCHED).await;
    let after = setup::server_reads(&http, &stage.deployment, group, server)
        .await
        .ok();
    let name = stage.deployment.server(group, server);
    let primary = setup::primary_index(&stage.deployment, group).await;
    let is_primary = primary.is_ok_and(|index| index == server);
    if before != after || is_primary {
        let text = format!("server={name} reads={before:?}..{after:?} is_primary={is_primary}");
        stage.violate(Breach::LeavingEndpoint, text);
    }
}

/// Returns the pairs of a group's servers of which only the first is in the zone.
fn split(deployment: &Deployment, group: usize, zone: &str) -> Vec<(usize, usize)> {
    let is_inside = |server: usize| deployment.server_zone(group, server) == zone;
    let mut pairs = Vec::new();
    for inside in (0..deployment.servers).filter(|server| is_inside(*server)) {
        let outside = (0..deployment.servers).filter(|server| !is_inside(*server));
        pairs.extend(outside.map(|other| (inside, other)));
    }
    pairs
}

fn what(cut: bool) -> &'static str {
    if cut { "cut" } else { "heal" }
}
